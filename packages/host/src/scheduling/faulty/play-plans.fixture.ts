/**
Draws plans and plays each of them.
*/
import assert from 'node:assert/strict';
import process from 'node:process';
import fc from 'fast-check';
import {type FaultPlan} from './fault-plan.fixture.js';
import {playPlan} from './play-plan.fixture.js';

/** More plans, or others: `PLANS=20000 PLAN_SEED=7 npm test -- scheduling/faulty`. */
const chosenPlans = process.env.PLANS;
const seed = Number(process.env.PLAN_SEED ?? 20_261_203);

/** A plan that breaks a promise is made as small as it can be. */
export async function playPlans(
	arbitrary: fc.Arbitrary<FaultPlan>,
	plans = 2000,
): Promise<fc.RunDetails<[FaultPlan]>> {
	return fc.check(
		fc.asyncProperty(arbitrary, async (plan) => {
			assert.deepEqual(await playPlan(plan), []);
		}),
		{seed, numRuns: Number(chosenPlans ?? plans)},
	);
}
