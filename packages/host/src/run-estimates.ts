/**
What one task of a service takes, learned from those that ended: declared run times are often
far off, so they count only until enough has been seen.
*/

/** Weight of the newest task in the running mean. */
const newestWeight = 0.05;
/** Tasks after which the declared time counts for nothing. */
const enoughTasks = 20;

type Estimate = {meanMs: number; count: number};

export class RunEstimates {
	readonly #estimates = new Map<string, Estimate>();

	estimateMs(service: string, declaredMs: number): number {
		const estimate = this.#estimates.get(service);
		if (!estimate) {
			return declaredMs;
		}

		const trust = Math.min(1, estimate.count / enoughTasks);
		return estimate.meanMs * trust + declaredMs * (1 - trust);
	}

	learn(service: string, runMs: number): void {
		const estimate = this.#estimates.get(service) ?? {meanMs: runMs, count: 0};
		const weight = Math.max(newestWeight, 1 / (estimate.count + 1));
		estimate.meanMs += (runMs - estimate.meanMs) * weight;
		estimate.count += 1;
		this.#estimates.set(service, estimate);
	}
}
