/**
Generates plans at random and simulates each of them.
*/
import assert from 'node:assert/strict';
import process from 'node:process';
import fc from 'fast-check';
import {type FaultPlan} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';

/** For more plans, or others: `PLANS=20000 PLAN_SEED=7 npm test -- scheduling/faulty`. */
const requestedPlanCount = process.env.PLANS;
const seed = Number(process.env.PLAN_SEED ?? 20_261_203);

/** Simulates `planCount` plans; one that violates an invariant is shrunk as far as possible and returned with the result. */
export async function checkPlans(
	arbitrary: fc.Arbitrary<FaultPlan>,
	planCount = 2000,
	options?: Parameters<typeof runPlan>[1],
): Promise<fc.RunDetails<[FaultPlan]>> {
	return fc.check(
		fc.asyncProperty(arbitrary, async (plan) => {
			assert.deepEqual(await runPlan(plan, options), []);
		}),
		{seed, numRuns: Number(requestedPlanCount ?? planCount)},
	);
}
