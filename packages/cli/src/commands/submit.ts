/**
`submit`: submits a job, shows its progress on a terminal and writes its whole answer.
*/
import {formatFindings} from '@gentianshift/resources';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type HostOptions} from '../host-options.js';
import {createJobClient, createJobId} from '../jobs.js';
import {formatState, writeJob} from '../report-job.js';
import {reportFailure} from '../report.js';
import {parseTasks} from '../tasks.js';
import {type Terminal} from '../terminal.js';

export type SubmitCommandOptions = HostOptions & {
	service: string;
	team: string;
	/** File of NDJSON; "-" for standard input. */
	tasks: string;
	/** Milliseconds. */
	deadline?: number;
	id?: string;
	/** Times to come back after a refusal that says when. */
	retries: number;
};

export async function submit(
	terminal: Terminal,
	options: SubmitCommandOptions,
): Promise<ExitCode> {
	const tasks = await readTasks(terminal, options.tasks);
	if (tasks === undefined) {
		return exitCodes.usage;
	}

	const made = options.id === undefined && (await createJobId(options.host));
	if (made !== false && made.isErr()) {
		return reportFailure(terminal, made.error);
	}

	const id = made === false ? options.id! : made.value;
	terminal.writeError(`job ${id}`);
	const {service, team, retries, deadline: deadlineMs} = options;
	const client = createJobClient(options.host, {team, retries});
	const begin = performance.now();
	const answer = await client.submit({
		id,
		service,
		tasks,
		deadlineMs,
		onProgress(state) {
			terminal.showProgress(formatState(state));
		},
	});
	const tookMs = Math.round(performance.now() - begin);
	const code = writeJob(terminal, id, answer, options.output);
	terminal.writeError(`answered after ${tookMs} ms`);
	return code;
}

async function readTasks(
	{readText, writeError}: Terminal,
	file: string,
): Promise<unknown[] | undefined> {
	try {
		const tasks = parseTasks(await readText(file), file);
		if (tasks.isOk()) {
			return tasks.value;
		}

		writeError(formatFindings(tasks.error));
	} catch (error) {
		writeError(`${file}: ${(error as Error).message}`);
	}

	return undefined;
}
