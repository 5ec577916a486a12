/**
Which hosts hold a role, by rendezvous hashing, so that every host computes it by itself.

Each host gets a score for the role, and the highest scores hold it. When a host leaves, only its
own roles move, each to another host. No guarantee depends on two hosts agreeing, as holders keep
only soft state.
*/
import xxhash from 'xxhash-wasm';

/** Hashes text to 64 bits. */
export type Hash64 = (text: string) => bigint;

let loading: Promise<Hash64> | undefined;

/** Loads the hash function, once per process. */
export async function loadHash(): Promise<Hash64> {
	loading ??= loadXxhash();
	return loading;
}

async function loadXxhash(): Promise<Hash64> {
	const {h64} = await xxhash();
	return (text) => h64(text);
}

/**
Returns the keys of the hosts that hold a role, the preferred one first.

@example
pickHolders(['mieres_m1', 'mieres_m2'], 'reader/mieres', 1, hash); // one of them, the same everywhere
*/
export function pickHolders(
	hostKeys: readonly string[],
	roleKey: string,
	count: number,
	hash: Hash64,
): string[] {
	return hostKeys
		.map((key) => ({key, score: hash(`${roleKey}|${key}`)}))
		.toSorted((a, b) => compareScores(a, b))
		.slice(0, count)
		.map(({key}) => key);
}

/**
Returns the keys, those of hosts with more cores first; equal ones stay in the given order.

For roles that take a large share of a small host's processor. Hashing alone gives such a role to
any host; on one with a quarter of the others' cores, everything that depends on the role is late.

@example
rankByCores(['mieres_m1', 'mieres_m2'], (key) => (key === 'mieres_m2' ? 1.35 : 0.3)); // m2, m1
*/
export function rankByCores(
	hostKeys: readonly string[],
	getCores: (key: string) => number,
): string[] {
	return hostKeys.toSorted((a, b) => getCores(b) - getCores(a));
}

type Scored = {key: string; score: bigint};

function compareScores(a: Scored, b: Scored): number {
	if (a.score === b.score) {
		return a.key < b.key ? -1 : 1;
	}

	return a.score > b.score ? -1 : 1;
}
