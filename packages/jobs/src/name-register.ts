/**
Names: job ids chosen by callers (UUIDv7), which do not contain their owner, unlike the ids that
hosts issue. The host that receives a name claims it in the platform's service. A name can be
claimed once; the claim holds the incarnation (process) that may run the job.

The service may be down or slow, or its reply may be lost after the claim took effect. This host
may also be paused between claim and start for longer than the claim's lease. In these cases the
job is not started: the caller at once gets a retry delay and `ran: 'unknown'`, since the name
may have been claimed, and its job run, before.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Issuer, type NamedId, type Problem} from '@gentianshift/resources';
import {type Generations} from './generations.js';
import {type JobRecord} from './job-record.js';
import {createProblem} from './problems.js';

/**
Maximum difference between a name's time stamp and this host's clock. Twice this is less than the
length of a generation, so a name's record is kept for as long as the name would be accepted.
*/
export const maxNameSkewMs = 2 * 60 * 1000;

/** A job is not started if its claim took longer than this, which is far below the claim's lease. */
export const claimTimeoutMs = 10_000;

/** Default retry delay for callers while the platform's service is unavailable. */
const platformRetryMs = 2000;

/** Result of a claim in the platform's service. */
export type ClaimResult =
	| {state: 'claimed'}
	| {state: 'held'; holder: Issuer}
	/** The claim may or may not have taken effect, or this host makes no claims at present. */
	| {state: 'unavailable'; retryAfterMs?: number};

export type NameClaimStore = {
	/** Creates the claim unless the name is already claimed. */
	claimName: (uuid: string, holder: Issuer) => Promise<ClaimResult>;
	readHolder: (uuid: string) => Promise<Issuer | 'none' | 'unavailable'>;
};

export type NameRegisterOptions = {
	port: NameClaimStore;
	generations: Generations;
	/** Monotonic milliseconds. */
	now: () => number;
	/** Unix milliseconds without clock steps: the wall clock at start plus the monotonic time since. */
	wallNow: () => number;
};

/**
Maximum number of unsettled names. If the claim of a dropped name did take effect, its job can
no longer start.
*/
const maxUnsettled = 10_000;

export class NameRegister {
	readonly #options: NameRegisterOptions;
	/**
	Names whose claim may have taken effect without an answer in time, with the attempt that was
	answered `ran: 'unknown'`.
	*/
	readonly #unsettled = new Map<string, number>();
	/** Claims in progress, so that concurrent submissions of a name share one claim. */
	readonly #pending = new Map<string, Promise<Result<Issuer, Problem>>>();

	constructor(options: NameRegisterOptions) {
		this.#options = options;
	}

	/** Returns the incarnation that may run the job; claims the name for this process if it is unclaimed. */
	async claimName(
		id: NamedId,
		{attempt, known}: {attempt: number; known: JobRecord | undefined},
	): Promise<Result<Issuer, Problem>> {
		if (known) {
			return ok(this.#options.generations.readIssuer());
		}

		if ((this.#unsettled.get(id.uuid) ?? 0) >= attempt) {
			return err(createPlatformUnavailable(id));
		}

		const pending = this.#pending.get(id.uuid);
		if (pending) {
			return pending;
		}

		const claim = this.#claim(id, attempt);
		this.#pending.set(id.uuid, claim);
		const result = await claim;
		this.#pending.delete(id.uuid);
		return result;
	}

	async findHolder(id: NamedId): Promise<Result<Issuer, Problem>> {
		const holder = await this.#options.port.readHolder(id.uuid);
		if (holder === 'unavailable') {
			return err(createPlatformUnavailable(id));
		}

		return holder === 'none'
			? err(
					createProblem(
						'not-found',
						'unknown',
						'nobody holds this name (any more)',
						{id: id.uuid},
					),
				)
			: ok(holder);
	}

	async #claim(id: NamedId, attempt: number): Promise<Result<Issuer, Problem>> {
		if (Math.abs(this.#options.wallNow() - id.madeAt) > maxNameSkewMs) {
			return err(
				createProblem(
					'id-expired',
					'unknown',
					"the name's time stamp is too far from this host's clock",
					{
						id: id.uuid,
					},
				),
			);
		}

		const startedAt = this.#options.now();
		const self = this.#options.generations.readIssuer();
		const claim = await this.#options.port.claimName(id.uuid, self);
		if (
			claim.state === 'unavailable' ||
			this.#options.now() - startedAt > claimTimeoutMs
		) {
			this.#rememberUnsettled(id.uuid, attempt);
			const retryAfterMs =
				claim.state === 'unavailable' ? claim.retryAfterMs : undefined;
			return err(createPlatformUnavailable(id, retryAfterMs));
		}

		if (claim.state === 'claimed') {
			this.#unsettled.delete(id.uuid);
			return ok(self);
		}

		return claim.holder.incarnation === self.incarnation
			? this.#settleOwnClaim(id, self)
			: ok(claim.holder);
	}

	/**
	Decides on a name that this process has already claimed. If that claim is unsettled, no job was
	started under it, so it may start now; otherwise its record has been dropped and it may have run.
	*/
	#settleOwnClaim(id: NamedId, self: Issuer): Result<Issuer, Problem> {
		return this.#unsettled.delete(id.uuid)
			? ok(self)
			: err(
					createProblem(
						'id-expired',
						'unknown',
						'the name was claimed here before',
						{id: id.uuid},
					),
				);
	}

	#rememberUnsettled(uuid: string, attempt: number): void {
		this.#unsettled.set(uuid, attempt);
		if (this.#unsettled.size > maxUnsettled) {
			const [oldest] = this.#unsettled.keys();
			this.#unsettled.delete(oldest!);
		}
	}
}

function createPlatformUnavailable(
	id: NamedId,
	retryAfterMs = platformRetryMs,
): Problem {
	return createProblem(
		'platform-down',
		'unknown',
		'the name could not be claimed; it may have run before',
		{
			id: id.uuid,
			retryAfterMs,
		},
	);
}
