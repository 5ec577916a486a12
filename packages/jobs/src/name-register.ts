/**
Names chosen by callers (UUIDv7) instead of ids that name their owner. The host that receives
one claims it once in the platform's service; the claim names the incarnation that may run it.

What goes wrong: the service is down, slow, or loses the reply after the claim took effect; or
this host is paused between the claim and the start, longer than the claim lives. Then nothing
starts: the caller is told at once when to come back, and "unknown", for the name may have been
claimed and run before.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Issuer, type NamedId, type Problem} from '@gentianshift/resources';
import {type Generations} from './generations.js';
import {type JobRecord} from './job-record.js';
import {createProblem} from './problems.js';

/**
How far a name's time stamp may be from this host's clock. Twice this is less than a generation,
so a name's record outlives every submission of the name that would be accepted.
*/
export const nameWindowMs = 2 * 60 * 1000;

/** A claim answered later than this starts nothing: far less than the platform lease of a claim. */
export const claimLimitMs = 10_000;

/** When to come back while the platform's service is down. */
const platformRetryMs = 2000;

/** What the platform's service said. */
export type ClaimState =
	| {state: 'claimed'}
	| {state: 'held'; holder: Issuer}
	/** Whether it was claimed can't be known, or this host claims no more names now. */
	| {state: 'unavailable'; retryAfterMs?: number};

export type NamePort = {
	/** Creates the claim unless there is one. */
	claimName: (uuid: string, holder: Issuer) => Promise<ClaimState>;
	readHolder: (uuid: string) => Promise<Issuer | 'none' | 'unavailable'>;
};

export type NameRegisterOptions = {
	port: NamePort;
	generations: Generations;
	/** Monotonic milliseconds. */
	now: () => number;
	/** Unix milliseconds that never step: read once at start, then carried on by the monotonic clock. */
	wallNow: () => number;
};

/** Names remembered whose claim was not answered; older ones can no longer be claimed. */
const maxUnsettled = 10_000;

export class NameRegister {
	readonly #options: NameRegisterOptions;
	/** Names whose claim may have landed unanswered, with the attempt that was told "unknown". */
	readonly #unsettled = new Map<string, number>();
	/** Claims under way, so that copies arriving together make one claim. */
	readonly #pending = new Map<string, Promise<Result<Issuer, Problem>>>();

	constructor(options: NameRegisterOptions) {
		this.#options = options;
	}

	/** The incarnation that may run the name, claiming it for this one if nobody has. */
	async claimName(
		id: NamedId,
		{attempt, known}: {attempt: number; known: JobRecord | undefined},
	): Promise<Result<Issuer, Problem>> {
		if (known) {
			return ok(this.#options.generations.readIssuer());
		}

		if ((this.#unsettled.get(id.uuid) ?? 0) >= attempt) {
			return err(createPlatformDown(id));
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
			return err(createPlatformDown(id));
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
		if (Math.abs(this.#options.wallNow() - id.madeAt) > nameWindowMs) {
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

		const askedAt = this.#options.now();
		const self = this.#options.generations.readIssuer();
		const claim = await this.#options.port.claimName(id.uuid, self);
		if (
			claim.state === 'unavailable' ||
			this.#options.now() - askedAt > claimLimitMs
		) {
			this.#rememberUnsettled(id.uuid, attempt);
			const retryAfterMs =
				claim.state === 'unavailable' ? claim.retryAfterMs : undefined;
			return err(createPlatformDown(id, retryAfterMs));
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
	The claim is this incarnation's own. If it is one whose reply was lost, nothing was started
	under it; else its record is gone, and it may have run.
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

function createPlatformDown(
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
