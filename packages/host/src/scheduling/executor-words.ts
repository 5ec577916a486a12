/**
What executors say of themselves, from lists that may come in any order: of each executor the newest word holds.

For capacity that shrinks while tasks run. A list that may be old brings back the room of before, and a word with a capacity
that can't be used says nothing of it; either would have starts sent that the executor has no room for.
*/
import {type Executor, type ExecutorWord} from '@gentianshift/scheduling';

/** An executor that has said a higher number before, and still says a lower one after this long, numbers its words anew. */
const renumberedMs = 2500;

type Known = Pick<ExecutorWord, 'sequence' | 'revision'> & {
	executor: Executor;
	/** Since when lists have brought a lower number than the highest. */
	lowerSince?: number;
};

export type ExecutorWords = {
	/**
	The listed executors, each by its newest word; without those that have never said a capacity that can be used. `askedAt`:
	when the list was asked for.
	*/
	take: (words: readonly ExecutorWord[], askedAt: number) => Executor[];
	/** Forgets all others. */
	keepOnly: (executors: readonly Executor[]) => void;
};

/**
@example
const words = createExecutorWords((service) => service === 'meals');
words.take([{...word, sequence: 4}], now);
words.take([{...word, sequence: 3}], now); // still as in 4
*/
export function createExecutorWords(
	isGuardedService: (service: string) => boolean,
): ExecutorWords {
	const known = new Map<string, Known>();

	function takeWord(word: ExecutorWord, askedAt: number): Executor | undefined {
		const former = known.get(word.id);
		if (former && isOlder(word, former, askedAt)) {
			return former.executor;
		}

		const {sequence, revision, capacity, ...rest} = word;
		const room =
			capacity === undefined
				? former?.executor
				: {capacity, saidAt: findSaidAt(word, former) ?? askedAt};
		if (!room) {
			return undefined;
		}

		const executor: Executor = {
			...rest,
			isGuarded: isGuardedService(word.service),
			capacity: room.capacity,
			saidAt: room.saidAt,
		};
		known.set(word.id, {executor, sequence, revision});
		return executor;
	}

	return {
		take: (words, askedAt) =>
			words.flatMap((word) => takeWord(word, askedAt) ?? []),
		keepOnly(executors) {
			const ids = new Set(executors.map(({id}) => id));
			for (const id of known.keys()) {
				if (!ids.has(id)) {
					known.delete(id);
				}
			}
		},
	};
}

function isOlder(word: ExecutorWord, former: Known, now: number): boolean {
	if (isLower(word.revision, former.revision)) {
		return true;
	}

	// A write that was held up on its way: the executor's next one puts it right.
	if (isLower(word.sequence, former.sequence)) {
		former.lowerSince ??= now;
		return now - former.lowerSince < renumberedMs;
	}

	return false;
}

function isLower(a: number | undefined, b: number | undefined): boolean {
	return a !== undefined && b !== undefined && a < b;
}

/** The same word read again was said when it was first read. */
function findSaidAt(
	{sequence, revision}: ExecutorWord,
	former: Known | undefined,
): number | undefined {
	const isNumbered = sequence !== undefined || revision !== undefined;
	return isNumbered &&
		former?.sequence === sequence &&
		former?.revision === revision
		? former?.executor.saidAt
		: undefined;
}
