/**
`job` and `cancel`: ask for a job by its id, at any host, or end it.
*/
import {type ExitCode} from '../exit-codes.js';
import {type HostOptions} from '../host-options.js';
import {createJobClient} from '../jobs.js';
import {writeCancelled, writeJob} from '../report-job.js';
import {type Terminal} from '../terminal.js';

export async function showJob(
	terminal: Terminal,
	id: string,
	{host, output, wait}: HostOptions & {wait?: number},
): Promise<ExitCode> {
	const answer = await createJobClient(host).query(id, wait);
	return writeJob(terminal, id, answer, output);
}

export async function cancel(
	terminal: Terminal,
	id: string,
	{host, output}: HostOptions,
): Promise<ExitCode> {
	const answer = await createJobClient(host).cancel(id);
	return writeCancelled(terminal, id, answer, output);
}
