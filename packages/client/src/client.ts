/**
The client for callers: submit a job and get its whole answer, or a problem that says what ran.
*/
import {randomBytes} from 'node:crypto';
import {err, ok, ResultAsync, safeTry, type Result} from 'neverthrow';
import {type z} from 'zod';
import {type JobAnswer, type Problem} from '@gentianshift/resources';
import {askHost, askIssuer} from './exchange.js';
import {HostList} from './host-list.js';
import {checkWhole, JobRun} from './job-run.js';
import {createLocalProblem} from './local-problems.js';
import {
	type ClientOptions,
	type SubmitOptions,
	type WholeAnswer,
} from './options.js';
import {watchJob} from './watch.js';

/** Milliseconds one request waits for the answer before it asks again. */
const defaultWaitMs = 5000;
/** Milliseconds beyond the wait until a connection counts as silent. */
const defaultSilenceMs = 2000;
/** Milliseconds to wait for a job that names no deadline: the longest a service may set. */
const longestDeadlineMs = 3_600_000;
/** Milliseconds after the deadline in which the host still tells how the job ended. */
const lateMs = 2000;

export type Client = ReturnType<typeof createClient>;

/**
Makes a client of some entry hosts.

@example
const client = createClient({hosts: ['http://127.0.0.1:8080'], team: 'kitchen', retries: 2});
const answer = await client.submit({
	service: 'meals',
	tasks: [{dish: 'fabada', servings: 40}],
	deadlineMs: 10_000,
	result: z.object({accepted: z.boolean()}),
});
answer.match(
	({results}) => console.log(results[0].accepted),
	(problem) => console.log(problem.code, problem.ran),
);
*/
export function createClient({
	hosts,
	team,
	dispatcher,
	random = () => randomBytes(16).toString('hex'),
	retries = 0,
	waitMs = defaultWaitMs,
	silenceMs = defaultSilenceMs,
}: ClientOptions) {
	const list = new HostList(hosts);

	/** Makes an id under the issuer of a host that answers. */
	async function makeId(
		signal?: AbortSignal,
	): Promise<Result<{host: string; id: string}, Problem>> {
		const failures: string[] = [];
		for (const host of list.listInOrder()) {
			const known = list.getIssuer(host);
			const issuer =
				known === undefined
					? await askIssuer({host, timeoutMs: silenceMs, signal, dispatcher})
					: ok(known);
			if (issuer.isOk()) {
				list.note(host, known === undefined ? issuer.value : undefined);
				return ok({host, id: `${issuer.value}.${random()}`});
			}

			list.markSuspect(host);
			failures.push(`${host}: ${issuer.error.message}`);
		}

		// True: the job has no id yet, and nothing of it was sent to anyone.
		return err(createLocalProblem('unreachable', 'none', failures.join('; ')));
	}

	/** One request about an id, at each host until one answers. */
	async function askAny(
		method: 'GET' | 'DELETE',
		id: string,
		wait: number,
	): Promise<Result<JobAnswer, Problem>> {
		for (const host of list.listInOrder()) {
			const answer = await askHost({
				host,
				method,
				path: `/v1/jobs/${id}?wait=${wait}`,
				timeoutMs: wait + silenceMs,
				dispatcher,
			});
			if (answer.isOk()) {
				list.note(host, answer.value.issuer);
				return answer.value.reply;
			}

			list.markSuspect(host);
		}

		return err(
			createLocalProblem('no-answer', 'unknown', 'no host answered', id),
		);
	}

	async function run<Output>({
		id: ownId,
		service,
		tasks,
		deadlineMs,
		result,
		signal,
		onProgress,
	}: SubmitOptions<Output>): Promise<Result<WholeAnswer<Output>, Problem>> {
		return safeTry(async function* () {
			const {host, id} =
				ownId === undefined
					? yield* await makeId(signal)
					: {host: list.listInOrder()[0]!, id: ownId};
			const job = new JobRun({
				hosts: list,
				id,
				body: JSON.stringify({service, team, deadlineMs, tasks}),
				limitMs: (deadlineMs ?? longestDeadlineMs) + lateMs,
				retries,
				waitMs,
				silenceMs,
				firstHost: host,
				dispatcher,
				signal,
				onProgress,
			});
			const ended = await job.run();
			if (signal?.aborted) {
				await askAny('DELETE', id, 0);
			}

			const answer = yield* ended;
			const whole = yield* checkWhole(answer, tasks.length);
			const results = yield* readResults(whole.results, result, id);
			return ok({...whole, results});
		});
	}

	return {
		/**
		Submits a job and waits for its whole answer. The problem's `id` asks about it later.
		With `retries`, a refusal that says "none" and when to come back is followed.
		*/
		submit: <Output = unknown>(
			options: SubmitOptions<Output>,
		): ResultAsync<WholeAnswer<Output>, Problem> =>
			new ResultAsync(run(options)),

		/** Asks for a job's state, or waits up to `wait` milliseconds for its end. */
		query: (id: string, wait = 0): ResultAsync<JobAnswer, Problem> =>
			new ResultAsync(askAny('GET', id, wait)),

		/** Cancels a job: what hasn't started never will. */
		cancel: (id: string): ResultAsync<JobAnswer, Problem> =>
			new ResultAsync(askAny('DELETE', id, 0)),

		/** Yields a job's states as they change, its answer or problem last. */
		watch: (id: string, signal?: AbortSignal) =>
			watchJob({id, signal, hosts: list, dispatcher}),
	};
}

/** Checks each result; a whole answer of the wrong form ran all the same. */
function readResults<Output>(
	results: unknown[],
	schema: z.ZodType<Output> | undefined,
	id: string,
): Result<Output[], Problem> {
	if (schema === undefined) {
		return ok(results as Output[]);
	}

	const parsed = schema.array().safeParse(results);
	return parsed.success
		? ok(parsed.data)
		: err({
				...createLocalProblem('bad-result', 'some', parsed.error.message, id),
				tasksDone: results.map((_, i) => i),
			});
}
