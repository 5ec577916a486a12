/**
Callers of trials on the users' platform's protocol: they hand in a job and wait; one that loses
its connection sends the same job again, as the platform's callers do.
*/
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {
	queueHost,
	queuePrefix,
	taskCpu,
	type SchedulingHostProcess,
} from './system.js';

/** A lost job is sent again this much later. */
export const resendMs = 1300;
const patienceMs = 3000;
/** A cancellation is repeated for this long. */
const cancelPatienceMs = 10_000;

export type JobOptions = {
	id?: string;
	count?: number;
	/** Run time of each task. */
	ms?: number;
	/** Runs of each task that fail before one ends well. */
	failures?: number;
	cpu?: number;
	prefix?: string;
	timeLeftMs?: number;
	/** Open connections to go on with; without it each job has one of its own. */
	agent?: Agent;
};

export type JobReply = {
	id: string;
	/** 0: the connection broke, or no answer came in time. */
	status: number;
	state?: string;
	retryAfterS?: number;
	tookMs: number;
	/** Why there was no answer: a code of the connection's or the caller's own end. */
	failure?: string;
};

/** A caller waits this much longer for the answer than it told, milliseconds. */
export const answerSlackMs = 500;

export function makeJobId(): string {
	return randomBytes(8).toString('hex');
}

/** Hands a job in once. */
export async function submitJob(
	host: SchedulingHostProcess,
	{
		id = makeJobId(),
		count = 2,
		ms = 60,
		failures = 0,
		cpu = taskCpu,
		prefix = queuePrefix,
		timeLeftMs = patienceMs,
		agent: ownAgent,
	}: JobOptions = {},
	signal?: AbortSignal,
): Promise<JobReply> {
	const startedAt = performance.now();
	const agent = ownAgent ?? new Agent({pipelining: 1});
	const patience = startPatience(timeLeftMs + answerSlackMs, signal);
	try {
		const reply = await request(`http://${host.callers}${prefix}${id}`, {
			method: 'POST',
			dispatcher: agent,
			headers: {
				host: queueHost,
				'content-type': 'application/json',
				'deadline-ms': String(timeLeftMs),
			},
			body: JSON.stringify({
				spec: JSON.stringify({ms, cpu, failures}),
				phases: [{count, cpu, mem_mb: 64, estimated_ms: ms}],
				best_effort: true,
			}),
			signal: patience.signal,
		});
		const body = (await reply.body.json()) as {state?: string};
		const retryAfter = reply.headers['retry-after'];
		return {
			id,
			status: reply.statusCode,
			state: body.state,
			retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
			tookMs: performance.now() - startedAt,
		};
	} catch (error) {
		const {code, name} = error as NodeJS.ErrnoException;
		return {
			id,
			status: 0,
			tookMs: performance.now() - startedAt,
			failure: typeof code === 'string' ? code : name,
		};
	} finally {
		patience.end();
		if (!ownAgent) {
			await agent.destroy();
		}
	}
}

/**
A signal that is aborted after so many milliseconds, or with `signal`. One that `AbortSignal.any` derives from a time-out may be
collected before the time is over, and then never is.
*/
function startPatience(ms: number, signal?: AbortSignal) {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort(new DOMException('no answer in time', 'TimeoutError'));
	}, ms);
	const forwardAbort = () => {
		controller.abort(signal?.reason);
	};

	signal?.addEventListener('abort', forwardAbort);
	return {
		signal: controller.signal,
		end() {
			clearTimeout(timer);
			signal?.removeEventListener('abort', forwardAbort);
		},
	};
}

/** Hands a job in, and again at other hosts when the connection breaks. */
export async function submitUntilAnswered(
	hosts: readonly SchedulingHostProcess[],
	options: JobOptions = {},
): Promise<JobReply> {
	const id = options.id ?? makeJobId();
	let reply: JobReply = {id, status: 0, tookMs: 0};
	for (const host of hosts) {
		reply = await submitJob(host, {...options, id});
		if (reply.status !== 0 && reply.status !== 502 && reply.status !== 504) {
			return reply;
		}

		await delay(resendMs);
	}

	return reply;
}

/** How often a cancellation is sent again to a host that does not take connections yet. */
const connectIntervalMs = 20;

/** Cancels a job at the host, until it is confirmed, or for as long as a caller waits. */
export async function cancelJob(
	host: SchedulingHostProcess,
	id: string,
): Promise<{status: number}> {
	const endsAt = performance.now() + cancelPatienceMs;
	let status = 0;
	while (performance.now() < endsAt && ![200, 410].includes(status)) {
		status = await sendCancellation(host, id);
		if (status === 0) {
			await delay(connectIntervalMs);
		}
	}

	return {status};
}

async function sendCancellation(
	host: SchedulingHostProcess,
	id: string,
): Promise<number> {
	const agent = new Agent({pipelining: 1});
	try {
		const {statusCode, body} = await request(
			`http://${host.callers}${queuePrefix}${id}`,
			{method: 'DELETE', dispatcher: agent, headers: {host: queueHost}},
		);
		await body.dump();
		return statusCode;
	} catch {
		return 0;
	} finally {
		await agent.destroy();
	}
}
