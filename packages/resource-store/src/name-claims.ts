/**
Claims of names that callers chose: a name belongs to the first host that creates its key, for as
long as the platform's lease keeps it.

Without a claim, two hosts that get the same submission (a balancer's retry) would both run it.
The key is created only if absent; its value names the holder and one random nonce, so that a
host whose reply was lost can tell its own claim from another's by reading it back.

The claims of one tick go in one transaction, as nested transactions that each compare their own
key: the service runs each by itself, so one that is held doesn't fail its neighbours.
*/
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {platformRetryMs, type PlatformFailure} from './failure.js';
import {
	encodeBase64,
	type StoreEntry,
	type TxnReply,
	type TxnRequest,
} from './gateway-schemas.js';
import {type KeyValue} from './key-value.js';

export type ClaimOutcome =
	{outcome: 'claimed'} | {outcome: 'held'; holder: string};

export type ClaimFailure =
	/** Nothing was claimed. */
	| {code: 'unavailable'; retryAfterMs: number}
	/** May have been claimed by this host; never start on it. */
	| {code: 'unknown-outcome'; retryAfterMs: number}
	/** This host claims no more names now; nothing was claimed. */
	| {code: 'rate-limited'; retryAfterMs: number};

export type NameClaims = {
	/** `holder` is kept as given and told to whoever asks for the name later. */
	claimName: (
		uuid: string,
		holder: string,
	) => ResultAsync<ClaimOutcome, ClaimFailure>;
};

export type NameClaimsOptions = {
	keyValue: Pick<KeyValue, 'commitTxn' | 'createLease' | 'readKey'>;
	/** Of all claims, ending in "/". */
	prefix: string;
	/** Monotonic, milliseconds. */
	now: () => number;
	makeNonce: () => string;
	/** Asked once a claim: milliseconds until the next is allowed; 0: now. */
	takeToken: () => number;
	/** Runs a function at the end of the current tick. */
	schedule: (run: () => void) => void;
	/** Life of the platform's lease on a claim; see `claimLeaseSeconds`. */
	leaseSeconds?: number;
};

/**
Life of a lease, seconds. Names are accepted only minutes after their time stamp. A lease takes
claims for a third of its life, so each claim lasts at least 20 minutes by the service's clock;
when it ends, every host refuses the name as too old, also one that a pause of its claimant
delayed: the lease, not the claim, started the 20 minutes, and the name was made before that.
*/
export const claimLeaseSeconds = 1800;

/** Part of a lease's life in which claims are put under it. */
const leaseUseShare = 1 / 3;

/** Claims in one transaction: etcd takes 128 operations in one by default. */
const maxBatch = 64;

/** Times a batch is sent: the first, and once more for keys that were not there afterwards. */
const maxSends = 2;

const claimValueSchema = z.object({holder: z.string(), nonce: z.string()});

type Claim = {uuid: string; holder: string; nonce: string};
type ClaimResult = Result<ClaimOutcome, ClaimFailure>;
type Pending = Claim & {settle: (result: ClaimResult) => void};

export function createNameClaims(options: NameClaimsOptions): NameClaims {
	const claimer = new Claimer(options);
	return {
		claimName: (uuid, holder) =>
			new ResultAsync(claimer.claimName(uuid, holder)),
	};
}

class Claimer {
	/** Claims on their way, so that no transaction holds a key twice: the service refuses that. */
	readonly #underWay = new Map<string, Promise<ClaimResult>>();
	#batch: Pending[] = [];
	#lease: {id: string; madeAt: number} | undefined;
	#leaseCall: ResultAsync<string, PlatformFailure> | undefined;

	readonly #options: NameClaimsOptions;

	constructor(options: NameClaimsOptions) {
		this.#options = options;
	}

	async claimName(uuid: string, holder: string): Promise<ClaimResult> {
		const earlier = this.#underWay.get(uuid);
		if (earlier) {
			const result = await earlier;
			return result.map(({outcome, ...rest}) =>
				outcome === 'claimed' ? {outcome: 'held', holder} : {outcome, ...rest},
			) as ClaimResult;
		}

		const waitMs = this.#options.takeToken();
		if (waitMs > 0) {
			return err({code: 'rate-limited', retryAfterMs: waitMs});
		}

		const result = this.#enqueue({
			uuid,
			holder,
			nonce: this.#options.makeNonce(),
		});
		this.#underWay.set(uuid, result);
		try {
			return await result;
		} finally {
			this.#underWay.delete(uuid);
		}
	}

	async #enqueue(claim: Claim): Promise<ClaimResult> {
		return new Promise((settle) => {
			this.#batch.push({...claim, settle});
			if (this.#batch.length === 1) {
				this.#options.schedule(() => {
					this.#flush();
				});
			}
		});
	}

	#flush(): void {
		const claims = this.#batch;
		this.#batch = [];
		for (let start = 0; start < claims.length; start += maxBatch) {
			void this.#sendBatch(claims.slice(start, start + maxBatch));
		}
	}

	async #sendBatch(batch: Pending[]): Promise<void> {
		let open = batch;
		let failure: ClaimFailure | undefined;
		for (let send = 0; send < maxSends && open.length > 0; send++) {
			const reply = await this.#commitClaims(open);
			if (reply.isOk()) {
				settleAll(open, reply.value);
				return;
			}

			// Once a batch may have taken effect, no later refusal makes that untrue.
			failure =
				failure?.code === 'unknown-outcome'
					? failure
					: describeFailure(reply.error);
			if (reply.error.code === 'unknown-outcome') {
				open = await this.#readBack(open);
			} else if (reply.error.code === 'rejected') {
				this.#lease = undefined;
			} else {
				break;
			}
		}

		for (const {settle} of open) {
			settle(err(failure!));
		}
	}

	async #commitClaims(
		claims: Claim[],
	): Promise<Result<TxnReply, PlatformFailure>> {
		const lease = await this.#getLease();
		// A lease that was perhaps made, perhaps not, holds no claim.
		return lease.isErr()
			? err({
					code: 'unavailable',
					message: lease.error.message,
					retryAfterMs: platformRetryMs,
				})
			: this.#options.keyValue.commitTxn(
					buildBatch(this.#options.prefix, claims, lease.value),
				);
	}

	async #getLease(): Promise<Result<string, PlatformFailure>> {
		const {leaseSeconds = claimLeaseSeconds, now, keyValue} = this.#options;
		const useMs = leaseSeconds * 1000 * leaseUseShare;
		if (this.#lease && now() - this.#lease.madeAt < useMs) {
			return ok(this.#lease.id);
		}

		// Counted from before the call: the service's count starts later, never earlier.
		const madeAt = now();
		this.#leaseCall ??= keyValue.createLease(leaseSeconds);
		const made = await this.#leaseCall;
		this.#leaseCall = undefined;
		return made.map((id) => {
			this.#lease = {id, madeAt};
			return id;
		});
	}

	/**
	Settles those whose key is there; returns those whose key is not there, which may be sent again.
	A store that can't be read either is down: waiting longer would only keep the caller.
	*/
	async #readBack(claims: Pending[]): Promise<Pending[]> {
		const {keyValue, prefix} = this.#options;
		const entries = await Promise.all(
			claims.map(async ({uuid}) => keyValue.readKey(prefix + uuid)),
		);
		return claims.filter((claim, i) => {
			const entry = entries[i]!;
			const outcome = entry.map((found) => judgeEntry(claim, found));
			if (outcome.isErr()) {
				claim.settle(err(describeUnknown()));
				return false;
			}

			if (outcome.value) {
				claim.settle(ok(outcome.value));
				return false;
			}

			return true;
		});
	}
}

function buildBatch(
	prefix: string,
	claims: Claim[],
	lease: string,
): TxnRequest {
	return {
		compare: [],
		success: claims.map(({uuid, holder, nonce}) => {
			const key = encodeBase64(prefix + uuid);
			const value = encodeBase64(JSON.stringify({holder, nonce}));
			return {
				request_txn: {
					compare: [
						{key, target: 'CREATE', result: 'EQUAL', create_revision: '0'},
					],
					success: [{request_put: {key, value, lease}}],
					failure: [{request_range: {key}}],
				},
			};
		}),
		failure: [],
	};
}

function settleAll(claims: Pending[], reply: TxnReply): void {
	for (const [i, claim] of claims.entries()) {
		claim.settle(readClaimReply(claim, reply.responses[i]?.response_txn));
	}
}

function readClaimReply(claim: Claim, reply?: TxnReply): ClaimResult {
	if (reply?.succeeded) {
		return ok({outcome: 'claimed'});
	}

	const entry = reply?.responses[0]?.response_range?.kvs[0];
	const outcome = judgeEntry(claim, entry);
	return outcome ? ok(outcome) : err(describeUnknown());
}

/** Undefined: there is no such key. */
function judgeEntry(
	claim: Claim,
	entry: StoreEntry | undefined,
): ClaimOutcome | undefined {
	if (!entry) {
		return undefined;
	}

	const value = claimValueSchema.safeParse(parseJson(entry.value));
	const holder = value.data?.holder ?? '';
	return value.data?.nonce === claim.nonce && holder === claim.holder
		? {outcome: 'claimed'}
		: {outcome: 'held', holder};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function describeFailure(failure: PlatformFailure): ClaimFailure {
	return failure.code === 'unknown-outcome'
		? describeUnknown()
		: {code: 'unavailable', retryAfterMs: platformRetryMs};
}

function describeUnknown(): ClaimFailure {
	return {code: 'unknown-outcome', retryAfterMs: platformRetryMs};
}
