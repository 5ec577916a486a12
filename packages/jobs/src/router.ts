/**
Handles callers' requests on any host: serves jobs that this host owns, and forwards requests for
other jobs to their owner.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Link, type MessageOf, type Session} from '@gentianshift/protocol';
import {
	formatIssuer,
	formatJobId,
	parseJobId,
	submissionSchema,
	type Issuer,
	type JobId,
	type JobReply,
	type Problem,
	type ServiceSpec,
	type Submission,
} from '@gentianshift/resources';
import {createOwnerUnreachable, Forwards, type Forward} from './forwards.js';
import {type Generations} from './generations.js';
import {JobRecord} from './job-record.js';
import {type NameRegister} from './name-register.js';
import {type Owner} from './owner.js';
import {createProblem} from './problems.js';

/** Trace span of a request on this host. */
export type RequestSpan = {
	/** Trace context to pass on with the request. */
	traceparent: string;
	end: (error?: string) => void;
};

export type RouterOptions = {
	generations: Generations;
	owner: Owner;
	names: NameRegister;
	findService: (name: string) => ServiceSpec | undefined;
	findLink: (hostKey: string) => Link | undefined;
	/** Starts a span under the given trace context, or a new trace if there is none. */
	startSpan: (name: string, traceparent?: string) => RequestSpan;
	/** Returns 16 hexadecimal digits from a cryptographically secure source. */
	createRandomHex: () => string;
};

export type CallerSubmission = {
	id?: string;
	attempt: number;
	submission: Submission;
	waitMs: number;
	traceparent?: string;
};

type JobRequest = {
	id: string;
	operation: 'query' | 'cancel';
	waitMs: number;
	traceparent?: string;
};

/** Interval at which the state of a watched job is read. */
const watchIntervalMs = 250;

export class Router {
	readonly #forwards = new Forwards();
	readonly #options: RouterOptions;

	constructor(options: RouterOptions) {
		this.#options = options;
	}

	getIssuer(): string {
		return formatIssuer(this.#options.generations.readIssuer());
	}

	async submitJob(request: CallerSubmission): Promise<JobReply> {
		const id = this.#chooseId(request);
		if (id.isErr()) {
			return err(id.error);
		}

		const parsed = parseId(id.value);
		if (parsed.isErr()) {
			return err(parsed.error);
		}

		const span = this.#options.startSpan('caller request', request.traceparent);
		const {traceparent} = span;
		const reply = await this.#handleSubmission(parsed.value, {
			...request,
			id: id.value,
			traceparent,
		});
		endSpan(span, reply);
		return reply;
	}

	async queryJob(request: {
		id: string;
		waitMs: number;
		traceparent?: string;
	}): Promise<JobReply> {
		return this.#handleRequest({...request, operation: 'query'});
	}

	async cancelJob(request: {
		id: string;
		traceparent?: string;
	}): Promise<JobReply> {
		return this.#handleRequest({...request, operation: 'cancel', waitMs: 0});
	}

	/**
	Yields the job's state whenever its number of done tasks has changed; ends with the final
	answer or a problem.
	*/
	async *watchJob({
		id,
		signal,
	}: {
		id: string;
		signal: AbortSignal;
	}): AsyncGenerator<JobReply> {
		let lastDone = -1;
		while (!signal.aborted) {
			const reply = await this.queryJob({
				id,
				waitMs: lastDone < 0 ? 0 : watchIntervalMs,
			});
			if (reply.isErr() || reply.value.state === 'complete') {
				yield reply;
				return;
			}

			if (reply.value.done !== lastDone) {
				lastDone = reply.value.done;
				yield reply;
			}
		}
	}

	/** Answers a request that another host forwarded to this host as the owner of the job. */
	async serveForward(
		session: Session,
		message: MessageOf<'forward'>,
	): Promise<void> {
		const reply = await this.#answerForward(message);
		session.send({
			t: 'answer',
			request: message.request,
			...(reply.isOk() ? {answer: reply.value} : {problem: reply.error}),
		});
	}

	receiveAnswer(message: MessageOf<'answer'>): void {
		this.#forwards.receiveAnswer(message);
	}

	handleLinkDown(key: string): void {
		this.#forwards.handleLinkDown(key);
	}

	/**
	Issues an id for a submission without one. Services that are not idempotent require an id from
	the caller: a retry by the caller or a load balancer would run the job a second time unnoticed.
	*/
	#chooseId(request: CallerSubmission): Result<string, Problem> {
		if (request.id !== undefined) {
			return parseId(request.id).map(() => request.id!);
		}

		const service = this.#options.findService(request.submission.service);
		if (service && !service.idempotent) {
			const issuer = this.getIssuer();
			return err(
				createProblem(
					'id-required',
					'none',
					'make an id under the issuer: ISSUER.RANDOM',
					{issuer},
				),
			);
		}

		return ok(
			formatJobId(
				this.#options.generations.readIssuer(),
				this.#options.createRandomHex(),
			),
		);
	}

	async #handleSubmission(
		id: JobId,
		request: CallerSubmission & {id: string},
	): Promise<JobReply> {
		const owner = await this.#findOwner(id, request);
		if (owner.isErr()) {
			return err(owner.error);
		}

		if (this.#isSelf(owner.value)) {
			return this.#submitHere(request, owner.value.generation);
		}

		const {submission, ...rest} = request;
		return this.#forward(owner.value, {
			...rest,
			operation: 'submit',
			submission: JSON.stringify(submission),
		});
	}

	async #submitHere(
		request: CallerSubmission & {id: string},
		generation: number,
	): Promise<JobReply> {
		const record = this.#options.owner.submitJob({...request, generation});
		return record instanceof JobRecord
			? record.waitForReply(request.waitMs)
			: err(record);
	}

	async #findOwner(
		id: JobId,
		request: CallerSubmission & {id: string},
	): Promise<Result<Issuer, Problem>> {
		return id.form === 'owned'
			? ok(id.issuer)
			: this.#options.names.claimName(id, {
					attempt: request.attempt,
					known: this.#options.owner.findJob(request.id),
				});
	}

	async #handleRequest(request: JobRequest): Promise<JobReply> {
		const known = this.#options.owner.findJob(request.id);
		if (known) {
			return this.#answerOwned(known, request);
		}

		const parsed = parseId(request.id);
		if (parsed.isErr()) {
			return err(parsed.error);
		}

		const id = parsed.value;
		const owner =
			id.form === 'owned'
				? ok(id.issuer)
				: await this.#options.names.findHolder(id);
		if (owner.isErr()) {
			return err(owner.error);
		}

		return this.#isSelf(owner.value)
			? err(createNotFound(request.id))
			: this.#forward(owner.value, {...request, attempt: 1});
	}

	async #answerOwned(
		record: JobRecord,
		request: JobRequest,
	): Promise<JobReply> {
		return request.operation === 'cancel'
			? this.#options.owner.cancelJob(record)
			: record.waitForReply(request.waitMs);
	}

	async #answerForward(message: MessageOf<'forward'>): Promise<JobReply> {
		const {operation} = message;
		if (operation !== 'submit') {
			const known = this.#options.owner.findJob(message.id);
			return known
				? this.#answerOwned(known, {...message, operation})
				: err(createNotFound(message.id));
		}

		const submission = parseSubmission(message.submission);
		const parsed = parseId(message.id);
		if (!submission || parsed.isErr()) {
			return err(
				createProblem(
					'malformed-id',
					'unknown',
					'a forward that cannot be read',
					{id: message.id},
				),
			);
		}

		// Never forwarded a second time: hosts that disagree on the owner could forward a request in a loop.
		const owner = await this.#findOwner(parsed.value, {...message, submission});
		return owner.isOk() && this.#isSelf(owner.value)
			? this.#submitHere({...message, submission}, owner.value.generation)
			: err(createOwnerUnreachable(message.id));
	}

	async #forward(owner: Issuer, forward: Forward): Promise<JobReply> {
		const link = this.#options.findLink(`${owner.dataCentre}_${owner.host}`);
		if (!link) {
			return err(createOwnerUnreachable(forward.id));
		}

		if (link.hello.incarnation !== owner.incarnation) {
			return err(
				createProblem(
					'owner-gone',
					'unknown',
					'the process that owned the job is gone; it may have run',
					{
						id: forward.id,
					},
				),
			);
		}

		const span = this.#options.startSpan(
			'forward to the owner',
			forward.traceparent,
		);
		const {traceparent} = span;
		const reply = await this.#forwards.sendForward(link, {
			...forward,
			traceparent,
		});
		endSpan(span, reply);
		return reply;
	}

	#isSelf(issuer: Issuer): boolean {
		return (
			issuer.incarnation === this.#options.generations.readIssuer().incarnation
		);
	}
}

/** A malformed id says `ran: 'none'`: no host ever accepts a job under an id that it can't parse. */
function parseId(text: string): Result<JobId, Problem> {
	return parseJobId(text).mapErr((error) =>
		createProblem('malformed-id', 'none', error.message),
	);
}

function createNotFound(id: string): Problem {
	return createProblem(
		'not-found',
		'unknown',
		'the owner keeps no such job (any more)',
		{id},
	);
}

function parseSubmission(text: string | undefined): Submission | undefined {
	try {
		const parsed = submissionSchema.safeParse(JSON.parse(text ?? ''));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

function endSpan(span: RequestSpan, reply: JobReply): void {
	span.end(reply.isErr() ? reply.error.code : undefined);
}
