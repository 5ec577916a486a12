/**
`explain`: tells from hosts' logs what became of the jobs and why, in all and by second, or the story of one job.
*/
import {judgeJobs, type JudgedJob} from '../explain/judge-jobs.js';
import {readLogLines, type LogLine} from '../explain/log-lines.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {formatTable} from '../table.js';
import {type Terminal} from '../terminal.js';

const msPerSecond = 1000;
/** What every line has and no story needs. */
const commonFields = new Set([
	'name',
	'host',
	'dataCentre',
	'hostname',
	'pid',
	'level',
	'msg',
	'time',
	'v',
	'at',
	'job',
]);

/** Reads the logs of one or more hosts; with a job's id, its story only. */
export async function explain(
	terminal: Terminal,
	files: readonly string[],
	{job}: {job?: string},
): Promise<ExitCode> {
	const texts: string[] = [];
	for (const file of files) {
		try {
			texts.push(await terminal.readText(file));
		} catch (error) {
			terminal.writeError(`${file}: can not be read: ${String(error)}`);
			return exitCodes.usage;
		}
	}

	const {lines, unread} = readLogLines(texts.join('\n'));
	if (unread > 0) {
		terminal.writeError(`${unread} lines are not of a host's log`);
	}

	return job === undefined
		? showCauses(terminal, judgeJobs(lines))
		: showStory(terminal, lines, job);
}

function showCauses(terminal: Terminal, jobs: readonly JudgedJob[]): ExitCode {
	if (jobs.length === 0) {
		terminal.writeError('no job was answered in these logs');
		return exitCodes.usage;
	}

	const queues = [...new Set(jobs.map(({queue}) => queue))].toSorted();
	const rows = countBy(jobs, ({cause}) => cause).map(([cause, found]) => ({
		CAUSE: cause,
		JOBS: String(found.length),
		...Object.fromEntries(
			queues.map((queue) => [
				queue,
				String(found.filter((one) => one.queue === queue).length),
			]),
		),
	}));
	terminal.writeOut(formatTable(rows));
	terminal.writeOut('');
	terminal.writeOut(formatTable(makeSeconds(jobs)));
	return exitCodes.ok;
}

/** A row a second: by when callers were answered, counted from the first answer. */
function makeSeconds(
	jobs: readonly JudgedJob[],
): Array<Record<string, string>> {
	const begin = Math.min(...jobs.map(({at}) => at));
	return groupBy(jobs, ({at}) => Math.floor((at - begin) / msPerSecond))
		.toSorted(([a], [b]) => a - b)
		.map(([second, found]) => {
			const lost = found.filter(({cause}) => cause !== 'in time');
			return {
				SECOND: String(second),
				JOBS: String(found.length),
				'IN TIME': String(found.length - lost.length),
				'MOST OF THE OTHERS': countBy(lost, ({cause}) => cause)
					.slice(0, 3)
					.map(([cause, ofCause]) => `${ofCause.length} ${cause}`)
					.join('; '),
			};
		});
}

/** Groups, the largest first. */
function countBy(
	jobs: readonly JudgedJob[],
	getKey: (job: JudgedJob) => string,
): Array<[string, JudgedJob[]]> {
	return groupBy(jobs, getKey).toSorted(([, a], [, b]) => b.length - a.length);
}

function groupBy<K>(
	jobs: readonly JudgedJob[],
	getKey: (job: JudgedJob) => K,
): Array<[K, JudgedJob[]]> {
	const groups = new Map<K, JudgedJob[]>();
	for (const job of jobs) {
		const key = getKey(job);
		const known = groups.get(key) ?? [];
		known.push(job);
		groups.set(key, known);
	}

	return [...groups];
}

function showStory(
	terminal: Terminal,
	lines: readonly LogLine[],
	job: string,
): ExitCode {
	const story = lines.filter((line) => line.job === job);
	const [first] = story;
	if (!first) {
		terminal.writeError(`no line of these logs names the job ${job}`);
		return exitCodes.usage;
	}

	for (const line of story) {
		const fields = Object.entries(line)
			.filter(([name]) => !commonFields.has(name))
			.map(([name, value]) => `${name}=${JSON.stringify(value)}`);
		terminal.writeOut(
			`+${line.at - first.at} ms  ${line.host}  ${line.msg}  ${fields.join(' ')}`,
		);
	}

	return exitCodes.ok;
}
