/**
What one task of a service takes, learned from those that ended: declared run times are often
far off, so they count only until enough has been seen.
*/
import {estimateRunMs, type RunEstimate} from '@gentianshift/decisions';
import {readNow} from './identity.js';

export class RunEstimates {
	readonly #estimates = new Map<string, RunEstimate>();

	estimateMs(service: string, declaredMs: number): number {
		return this.#estimates.get(service)?.meanMs ?? declaredMs;
	}

	/** `declaredMs` is the prior of the first time. */
	learn(service: string, runMs: number, declaredMs: number): void {
		const estimate = this.#estimates.get(service) ?? estimateRunMs(declaredMs);
		this.#estimates.set(service, estimate);
		estimate.recordRunMs(runMs, readNow());
	}
}
