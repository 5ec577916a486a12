import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {closeCallers} from './caller.js';
import {runChaos} from './chaos-run.js';

/** Long enough for some ten faults; the long runs are by command. */
const durationMs = 15_000;

after(closeCallers);

for (const seed of [1, 2]) {
	// Hosts are killed, frozen and restarted, data centres cut off, connections silenced, the
	// platform and executors faulty, in any order and together. A user would notice an order that
	// ran twice, an answer that isn't whole or not theirs, or a refusal that was not true.
	test(`no promise is broken under the faults of seed ${seed}`, async () => {
		const {violations, schedule, starts} = await runChaos(seed, durationMs);
		assert.deepEqual(violations, [], JSON.stringify(schedule));
		assert.ok(starts > 0);
	});
}
