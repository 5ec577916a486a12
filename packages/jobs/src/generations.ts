/**
Generations of job ids. A host increments its generation every few minutes by its own monotonic
clock, and starts only jobs whose ids are of the current or the previous generation. Records of
older generations can be dropped, since their ids can't start again; this bounds memory use.
*/
import {type Issuer} from '@gentianshift/resources';

export type Generations = {
	readIssuer: () => Issuer;
	/** Whether a new job under this generation may start (`startable`), or why not. */
	checkGeneration: (generation: number) => 'startable' | 'expired' | 'future';
};

export type GenerationsOptions = {
	self: Omit<Issuer, 'generation'>;
	generationMs: number;
	/** Monotonic milliseconds. */
	now: () => number;
};

export function createGenerations({
	self,
	generationMs: lengthMs,
	now,
}: GenerationsOptions): Generations {
	const startedAt = now();
	const readGeneration = () => Math.floor((now() - startedAt) / lengthMs);
	return {
		readIssuer: () => ({...self, generation: readGeneration()}),
		checkGeneration(generation) {
			const current = readGeneration();
			if (generation > current) {
				return 'future';
			}

			return generation >= current - 1 ? 'startable' : 'expired';
		},
	};
}
