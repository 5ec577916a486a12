/**
Plans in which the store turns hosts away while the capacity of executors shrinks that do not guard it.
*/
import fc from 'fast-check';
import {
	drawInLongPlan,
	handOver,
	host,
	hostCount,
	jobDuringShrink,
	longPlanStart,
	shrink,
	type FaultPlan,
	type PlannedFault,
} from './fault-plan.fixture.js';

/** The store turns these hosts away. */
export function refuseStore(
	hosts: readonly number[],
	at: number,
	durationMs: number,
): PlannedFault[] {
	return hosts.map((one) => ({
		at,
		durationMs,
		kind: 'store',
		host: one,
		how: 'refuses',
	}));
}

const jobsDuringShrink = fc.array(jobDuringShrink, {
	minLength: 8,
	maxLength: 24,
});

/** The store turns all hosts away but one or more, while capacities shrink, and groups may change hands. */
const someRefusedPlans: fc.Arbitrary<FaultPlan> = fc.record({
	jobs: jobsDuringShrink,
	faults: fc
		.tuple(
			fc.array(shrink, {minLength: 1, maxLength: 3}),
			fc
				.tuple(
					fc.uniqueArray(host, {minLength: 1, maxLength: hostCount - 1}),
					longPlanStart,
					fc.integer({min: 3000, max: 9000}),
				)
				.map((refusal) => refuseStore(...refusal)),
			fc.array(drawInLongPlan(handOver), {maxLength: 2}),
		)
		.map((faults) => faults.flat()),
	isUnguarded: fc.constant(true),
	stopDelayMs: fc.constantFrom(0, 40),
});

const allHosts = Array.from({length: hostCount}, (_, i) => i);
/** By then holders have read a list that was current when the capacity had shrunk, and have told it. */
const readByHoldersMs = 1000;

/** The store is away for all some time after capacities have shrunk, and a host dies or is stopped. */
const allRefusedPlans: fc.Arbitrary<FaultPlan> = fc.record({
	jobs: jobsDuringShrink,
	faults: fc
		.tuple(
			fc.array(
				shrink.map((one): PlannedFault => ({...one, at: 0, durationMs: 9000})),
				{minLength: 1, maxLength: 3},
			),
			fc
				.tuple(
					fc.constant(allHosts),
					fc.integer({min: readByHoldersMs, max: 3000}),
					fc.integer({min: 3000, max: 9000}),
				)
				.map((refusal) => refuseStore(...refusal)),
			fc
				.tuple(
					fc.constantFrom('kill' as const, 'graceful-stop' as const),
					host,
					fc.integer({min: readByHoldersMs, max: 6000}),
					fc.integer({min: 50, max: 9000}),
				)
				.map(([kind, one, at, durationMs]): PlannedFault[] => [
					{kind, host: one, at, durationMs},
				]),
		)
		.map((faults) => faults.flat()),
	isUnguarded: fc.constant(true),
	stopDelayMs: fc.constantFrom(0, 40),
});

/** Capacities shrink of executors that don't guard them, and some host has read it, while holders can't read lists. */
export const refusedReaderPlans: fc.Arbitrary<FaultPlan> = fc.oneof(
	someRefusedPlans,
	allRefusedPlans,
);
