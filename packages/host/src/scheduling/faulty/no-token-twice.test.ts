/**
No two holders of a group have the same fencing token: executors would obey both, and neither holder would give up the group. One
fixed plan, simulated as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makeStorelessToken} from '@gentianshift/scheduling';
import {runPlan} from './run-plan.fixture.js';

// Guards against two hosts that permanently hold the same group under the same token, each stopping and restarting what the other runs.
test('two hosts that are cut off from each other and from the store do not hold a group under the same token', async () => {
	const takenTokens: string[] = [];
	const violations = await runPlan(
		{
			jobs: Array.from({length: 40}, (_, i) => ({
				at: 100 + i * 200,
				host: i % 4,
				tasks: 2,
				runMs: 600,
				allowanceMs: 1000,
			})),
			faults: [
				{at: 0, durationMs: 9000, kind: 'store', host: 0, how: 'refuses'},
				{at: 0, durationMs: 9000, kind: 'store', host: 1, how: 'refuses'},
				{at: 100, durationMs: 8000, kind: 'cut', host: 0, peer: 1},
			],
		},
		{
			log(line) {
				const [, token] =
					/ group taken .*"group":"mieres","token":(\d+)/v.exec(line) ?? [];
				takenTokens.push(...(token === undefined ? [] : [token]));
			},
		},
	);
	assert.deepEqual(takenTokens, [...new Set(takenTokens)]);
	assert.deepEqual(violations, []);
});

// Guards against a host that knows of one more takeover without the store than another host does, and generates the same token as it.
test('hosts that know different last tokens do not generate the same next token', () => {
	const lastToken = 6464;
	const laterToken = makeStorelessToken(lastToken, 0);
	assert.notEqual(
		makeStorelessToken(laterToken, 0),
		makeStorelessToken(lastToken, 1),
	);
});
