/**
Plans in which callers cancel their jobs, mostly at other hosts than those that have them, while hosts are frozen or start.
*/
import fc from 'fast-check';
import {
	handOver,
	host,
	hostFault,
	linkFault,
	storeFault,
	type FaultPlan,
} from './fault-plan.fixture.js';

const planSpanMs = 1500;
/** Longer than tasks may be started after a cancellation. */
const longestFreezeMs = 6000;

const cancelledJob = fc.record({
	at: fc.nat(planSpanMs),
	host,
	// More tasks than run at once, so that some are still to be started when the job is cancelled.
	tasks: fc.integer({min: 1, max: 16}),
	runMs: fc.constantFrom(600, 1000, 1500),
	allowanceMs: fc.constant(8000),
	isOnNewConnection: fc.boolean(),
	isReadLast: fc.boolean(),
	cancel: fc.record({afterMs: fc.integer({min: 5, max: 900}), host}),
});

const longFreeze = fc.record({
	at: fc.nat(planSpanMs),
	durationMs: fc.integer({min: 3000, max: longestFreezeMs}),
	kind: fc.constantFrom('freeze' as const, 'suspend' as const),
	host,
});

const start = fc.record({
	at: fc.nat(planSpanMs),
	durationMs: fc.integer({min: 50, max: 1000}),
	kind: fc.constant('kill' as const),
	host,
});

export const cancellationPlans: fc.Arbitrary<FaultPlan> = fc.record({
	jobs: fc.array(cancelledJob, {minLength: 1, maxLength: 4}),
	faults: fc.array(
		fc.oneof(
			{weight: 4, arbitrary: longFreeze},
			{weight: 4, arbitrary: start},
			{weight: 2, arbitrary: hostFault},
			{weight: 2, arbitrary: linkFault},
			{weight: 1, arbitrary: handOver},
			{weight: 1, arbitrary: storeFault},
		),
		{minLength: 1, maxLength: 4},
	),
});
