/**
Follows one job from its submission to its whole answer or the problem that ends it.

An answer can be lost on its way back while the job runs on: the connection breaks or falls
silent, the host dies, a balancer answers in its place. A caller that then places the same
order under a new id buys twice. Here a lost answer leads to the same id and the same attempt
at another host, which joins the running job or gets the recorded answer. Only a refusal that
says "none" and when to come back leads to a higher attempt; "unknown" never does.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {
	type JobAnswer,
	type JobReply,
	type Problem,
} from '@gentianshift/resources';
import {askHost, type Exchange} from './exchange.js';
import {type HostList} from './host-list.js';
import {createLocalProblem} from './local-problems.js';

/** Milliseconds between rounds over hosts that do not answer. */
const pauseMs = 100;
/**
Share of the asked-for pause that is added at random: callers refused together do not come
back together.
*/
const comeBackJitter = 0.2;
/** Milliseconds of one wait while someone looks at the progress. */
const progressWaitMs = 500;
/**
Codes with which a host says that it could not ask the owner: another host may reach it, or has
the memory to read the body.
Asking there is safe, as the id and the attempt stay the same.
*/
const elsewhereCodes = new Set([
	'owner-unreachable',
	'stopping',
	'bodies-too-large',
]);

export type JobRunOptions = {
	hosts: HostList;
	id: string;
	/** The submission as JSON. */
	body: string;
	/** Milliseconds until the job's answer no longer matters. */
	limitMs: number;
	retries: number;
	waitMs: number;
	silenceMs: number;
	/** The host to send to first: the one that gave the issuer. */
	firstHost: string;
	/** Sends as the client's options say. */
	dispatcher?: Exchange['dispatcher'];
	signal?: AbortSignal;
	onProgress?: (answer: JobAnswer) => void;
};

export class JobRun {
	readonly #options: JobRunOptions;
	readonly #deadline: number;
	#attempt = 1;
	#isKnown = false;
	/** Hosts still to be asked in this round. */
	#round: string[];

	constructor(options: JobRunOptions) {
		this.#options = options;
		this.#deadline = performance.now() + options.limitMs;
		this.#round = [options.firstHost];
	}

	async run(): Promise<Result<JobAnswer, Problem>> {
		let elsewhere: Problem | undefined;
		const asked = new Set<string>();
		while (!this.#options.signal?.aborted && this.#getLeftMs() > 0) {
			const host = await this.#chooseHost();
			const reply = await this.#ask(host);
			if (reply === undefined) {
				continue;
			}

			if (reply.isErr() && elsewhereCodes.has(reply.error.code)) {
				elsewhere = reply.error;
				asked.add(host);
				if (this.#isEachAsked(asked)) {
					return reply;
				}

				continue;
			}

			const end = await this.#weigh(reply);
			if (end) {
				return end;
			}
		}

		return err(elsewhere ?? this.#describeEnd());
	}

	/** The reply when it ends the job; nothing when there is more to ask. */
	async #weigh(reply: JobReply): Promise<JobReply | undefined> {
		if (reply.isOk()) {
			const {state} = reply.value;
			if (state !== 'queued' && state !== 'running') {
				return reply;
			}

			this.#isKnown = true;
			this.#options.onProgress?.(reply.value);
			return undefined;
		}

		const {ran, retryAfterMs = Infinity, code} = reply.error;
		if (code === 'owner-gone') {
			this.#options.hosts.dropIssuer(this.#options.id);
		}

		const mayComeBack =
			ran === 'none' &&
			this.#attempt <= this.#options.retries &&
			retryAfterMs < this.#getLeftMs();
		if (!mayComeBack) {
			return reply;
		}

		await this.#wait(retryAfterMs * (1 + comeBackJitter * Math.random()));
		this.#attempt++;
		this.#isKnown = false;
		return undefined;
	}

	/** One request; nothing when its answer was lost. */
	async #ask(host: string): Promise<JobReply | undefined> {
		const {id, body, onProgress, silenceMs, signal, dispatcher, hosts} =
			this.#options;
		const wait = onProgress ? progressWaitMs : this.#options.waitMs;
		const waitMs = Math.max(0, Math.floor(Math.min(wait, this.#getLeftMs())));
		const answer = await askHost({
			host,
			method: this.#isKnown ? 'GET' : 'PUT',
			path: `/v1/jobs/${id}?wait=${waitMs}`,
			body: this.#isKnown ? undefined : body,
			attempt: this.#isKnown ? undefined : this.#attempt,
			timeoutMs: waitMs + silenceMs,
			dispatcher,
			signal,
		});
		if (answer.isErr()) {
			hosts.markSuspect(host);
			this.#isKnown = false;
			return undefined;
		}

		hosts.note(host, answer.value.issuer);
		if (answer.value.reply.isOk()) {
			this.#round.unshift(host);
		}

		return answer.value.reply;
	}

	async #chooseHost(): Promise<string> {
		if (this.#round.length === 0) {
			await this.#wait(pauseMs);
			this.#round = this.#options.hosts.listInOrder();
		}

		return this.#round.shift()!;
	}

	#isEachAsked(asked: Set<string>): boolean {
		const hosts = this.#options.hosts.listInOrder();
		return hosts.every((host) => asked.has(host));
	}

	#getLeftMs(): number {
		return this.#deadline - performance.now();
	}

	async #wait(ms: number): Promise<void> {
		const {signal} = this.#options;
		const wait = sleep(ms, undefined, {signal});
		await wait.catch(() => undefined);
	}

	#describeEnd(): Problem {
		const {id, signal} = this.#options;
		return signal?.aborted
			? createLocalProblem('aborted', 'unknown', 'the signal was aborted', id)
			: createLocalProblem(
					'no-answer',
					'unknown',
					'no host answered for this job by its deadline; ask again by its id',
					id,
				);
	}
}

/** Checks that an answer is whole: as many results as tasks. */
export function checkWhole(
	answer: JobAnswer,
	tasks: number,
): Result<JobAnswer & {results: unknown[]}, Problem> {
	const {results, state, id} = answer;
	return state === 'complete' && results?.length === tasks
		? ok({...answer, results})
		: err(
				createLocalProblem(
					'no-answer',
					'unknown',
					`the job is ${state}, with ${results?.length ?? 0} of ${tasks} results`,
					id,
				),
			);
}
