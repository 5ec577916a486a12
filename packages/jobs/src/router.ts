/**
Takes callers' requests at any host: runs what this host owns, hands the rest to the owner.
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
import {createUnreachable, Forwards, type Forward} from './forwards.js';
import {type Generations} from './generations.js';
import {JobRecord} from './job-record.js';
import {type NameRegister} from './name-register.js';
import {type Owner} from './owner.js';
import {createProblem} from './problems.js';

/** One hop of a request, for its trace. */
export type HopSpan = {
	/** To send on. */
	traceparent: string;
	end: (error?: string) => void;
};

export type RouterOptions = {
	generations: Generations;
	owner: Owner;
	names: NameRegister;
	findService: (name: string) => ServiceSpec | undefined;
	findLink: (hostKey: string) => Link | undefined;
	/** A span under the caller's trace context, or a new trace. */
	startSpan: (name: string, traceparent?: string) => HopSpan;
	/** 16 hexadecimal digits from a cryptographic source. */
	createRandom: () => string;
};

export type CallerSubmission = {
	id?: string;
	attempt: number;
	submission: Submission;
	waitMs: number;
	traceparent?: string;
};

type Asked = {
	id: string;
	operation: 'query' | 'cancel';
	waitMs: number;
	traceparent?: string;
};

/** How often a watched job's state is read anew, milliseconds. */
const watchMs = 250;

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
		const reply = await this.#submit(parsed.value, {
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
		return this.#ask({...request, operation: 'query'});
	}

	async cancelJob(request: {
		id: string;
		traceparent?: string;
	}): Promise<JobReply> {
		return this.#ask({...request, operation: 'cancel', waitMs: 0});
	}

	/** Yields the state whenever it has changed, the final answer or problem last. */
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
				waitMs: lastDone < 0 ? 0 : watchMs,
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

	/** A request that another host forwarded here, this host being the owner. */
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

	dropLink(key: string): void {
		this.#forwards.dropLink(key);
	}

	/**
	A submission without an id gets one here. A service whose requests are not idempotent takes
	none without: a retry by the caller or a balancer would be a second run that nobody sees.
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
				this.#options.createRandom(),
			),
		);
	}

	async #submit(
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
			? record.waitReply(request.waitMs)
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

	async #ask(request: Asked): Promise<JobReply> {
		const known = this.#options.owner.findJob(request.id);
		if (known) {
			return this.#answerKnown(known, request);
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

	async #answerKnown(record: JobRecord, request: Asked): Promise<JobReply> {
		return request.operation === 'cancel'
			? this.#options.owner.cancelJob(record)
			: record.waitReply(request.waitMs);
	}

	async #answerForward(message: MessageOf<'forward'>): Promise<JobReply> {
		const {operation} = message;
		if (operation !== 'submit') {
			const known = this.#options.owner.findJob(message.id);
			return known
				? this.#answerKnown(known, {...message, operation})
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

		// Not forwarded a second time: two hosts that disagree must not send a request in circles.
		const owner = await this.#findOwner(parsed.value, {...message, submission});
		return owner.isOk() && this.#isSelf(owner.value)
			? this.#submitHere({...message, submission}, owner.value.generation)
			: err(createUnreachable(message.id));
	}

	async #forward(owner: Issuer, forward: Forward): Promise<JobReply> {
		const link = this.#options.findLink(`${owner.dataCentre}_${owner.host}`);
		if (!link) {
			return err(createUnreachable(forward.id));
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

/** An id that can't be read has never been taken by any host: nothing of it ran. */
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

function endSpan(span: HopSpan, reply: JobReply): void {
	span.end(reply.isErr() ? reply.error.code : undefined);
}
