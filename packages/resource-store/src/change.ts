/**
One change of a resource, by compare-and-swap on the revision it was based on.

The service's reply can be lost after the write took effect. Sending the change again blindly
could undo what another operator did in between; giving up would leave this operator guessing.
So a change carries a random id that stays in the record: after a lost reply the record is read
back, and the same compare-and-swap is sent again only while its base is still in force. Both
copies compare with the same revision, so at most one of them takes effect.
*/
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {type Resource, type ResourceKey} from '@gentianshift/resources';
import {platformRetryMs, type PlatformFailure} from './failure.js';
import {encodeBase64, type TxnRequest} from './gateway-schemas.js';
import {type KeyValue} from './key-value.js';
import {
	buildNextRecord,
	coversBase,
	findChangeRevision,
	formatStoreKey,
	getVisibleRevision,
	type StoredRecord,
} from './resource-record.js';

export type Change = ResourceKey & {
	/** Null deletes. */
	spec: unknown;
	/** Change only at this revision; 0: only if absent; undefined: whatever is in force. */
	expectRevision?: number;
	/** Random, made by the caller. */
	changeId: string;
};

export type ChangeFailure =
	/** Another change came first; `revision` is in force (0: absent). Nothing was changed. */
	| {code: 'conflict'; revision: number}
	/** May be in force or still come into force; ask with `findChange`. */
	| {code: 'unknown-outcome'; changeId: string}
	/** Nothing was changed. */
	| {code: 'unavailable'; retryAfterMs: number}
	| {code: 'rejected'; message: string};

type ChangerOptions = {
	keyValue: Pick<KeyValue, 'commitTxn'>;
	prefix: string;
	readRecord: (key: ResourceKey) => ResultAsync<StoredRecord, PlatformFailure>;
	delay: (ms: number) => Promise<void>;
};

/** Rounds of read and compare-and-swap before the outcome is called unknown, or a race lost. */
const maxRounds = 5;

/** Wait before the second round, milliseconds; doubled each time: about 0.75 s in all. */
const firstWaitMs = 50;

/** Failed reads before a change of which nothing was sent is refused. */
const readsBeforeRefusal = 2;

/** What one round came to; undefined: another round is needed. */
type RoundOutcome = Result<Resource, ChangeFailure> | undefined;

export function createChanger(
	options: ChangerOptions,
): (change: Change) => ResultAsync<Resource, ChangeFailure> {
	return (change) => new ResultAsync(runRounds(options, change));
}

async function runRounds(
	options: ChangerOptions,
	change: Change,
): Promise<Result<Resource, ChangeFailure>> {
	const attempt = new ChangeAttempt(options, change);
	for (let round = 0; round < maxRounds; round++) {
		if (round > 0) {
			await options.delay(firstWaitMs * 2 ** (round - 1));
		}

		const outcome = await attempt.runRound();
		if (outcome) {
			return outcome;
		}
	}

	return err(attempt.describeGivenUp());
}

class ChangeAttempt {
	/** What the compare-and-swap whose outcome is not known was based on. */
	#unsettledBase: StoredRecord | undefined;
	#lastSeen: StoredRecord | undefined;
	#failedReads = 0;

	readonly #options: ChangerOptions;
	readonly #change: Change;

	constructor(options: ChangerOptions, change: Change) {
		this.#options = options;
		this.#change = change;
	}

	async runRound(): Promise<RoundOutcome> {
		const read = await this.#options.readRecord(this.#change);
		if (read.isErr()) {
			return this.#handleUnread();
		}

		this.#lastSeen = read.value;
		return this.#judgeRecord(read.value) ?? this.#commitChange(read.value);
	}

	describeGivenUp(): ChangeFailure {
		if (this.#unsettledBase !== undefined || this.#lastSeen === undefined) {
			return {code: 'unknown-outcome', changeId: this.#change.changeId};
		}

		return {code: 'conflict', revision: getVisibleRevision(this.#lastSeen)};
	}

	/**
	Before anything was sent, a store that can't be read is a plain refusal. The first failure may
	be a pooled connection that has gone silent while new ones work; the second read takes another.
	*/
	#handleUnread(): RoundOutcome {
		this.#failedReads++;
		return this.#unsettledBase !== undefined ||
			this.#failedReads < readsBeforeRefusal
			? undefined
			: err({code: 'unavailable', retryAfterMs: platformRetryMs});
	}

	#judgeRecord(now: StoredRecord): RoundOutcome {
		const {changeId, expectRevision} = this.#change;
		const revision = findChangeRevision(now, changeId);
		if (revision !== undefined) {
			return ok(this.#buildResource(revision));
		}

		const base = this.#unsettledBase;
		if (base && base.revision !== now.revision) {
			if (!coversBase(now, base)) {
				return err({code: 'unknown-outcome', changeId});
			}

			// Another change took the base's place: this one has not happened and can't any more.
			this.#unsettledBase = undefined;
		}

		const visible = getVisibleRevision(now);
		return expectRevision === undefined || expectRevision === visible
			? undefined
			: err({code: 'conflict', revision: visible});
	}

	async #commitChange(base: StoredRecord): Promise<RoundOutcome> {
		const reply = await this.#options.keyValue.commitTxn(this.#buildTxn(base));
		if (reply.isOk()) {
			// Not succeeded: the next round reads what came first.
			return reply.value.succeeded
				? ok(this.#buildResource(reply.value.header.revision))
				: undefined;
		}

		return this.#handleFailure(base, reply.error);
	}

	#handleFailure(base: StoredRecord, failure: PlatformFailure): RoundOutcome {
		if (failure.code === 'unknown-outcome') {
			this.#unsettledBase = base;
			return undefined;
		}

		if (this.#unsettledBase) {
			return undefined;
		}

		return failure.code === 'rejected'
			? err({code: 'rejected', message: failure.message})
			: err({code: 'unavailable', retryAfterMs: failure.retryAfterMs});
	}

	#buildTxn(base: StoredRecord): TxnRequest {
		const key = encodeBase64(
			formatStoreKey(this.#options.prefix, this.#change),
		);
		const record = buildNextRecord(base, this.#change);
		return {
			compare: [
				{
					key,
					target: 'MOD',
					result: 'EQUAL',
					mod_revision: String(base.revision),
				},
			],
			success: [
				{request_put: {key, value: encodeBase64(JSON.stringify(record))}},
			],
			failure: [],
		};
	}

	#buildResource(revision: number): Resource {
		const {kind, name, changeId, spec} = this.#change;
		return {kind, name, revision, changeId, spec: spec ?? null};
	}
}
