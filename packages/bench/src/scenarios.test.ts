import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {sumWork} from './job-mix.js';
import {createTrace, scenarios} from './scenarios.js';
import {countSlots, formatTrace, readTrace} from './trace.js';

const dir = new URL('../../../traces/', import.meta.url).pathname;

for (const name of Object.keys(scenarios)) {
	test(`the recorded trace ${name} is what its seed gives`, () => {
		const file = `${dir}${name}.ndjson`;
		assert.ok(readFileSync(file, 'utf8') === formatTrace(createTrace(name)));
		assert.ok(readTrace(file).isOk());
	});
}

test('load-80 brings 80% of the slots', () => {
	const {header, jobs} = createTrace('load-80');
	const work = jobs.reduce((sum, {tasks}) => sum + sumWork(tasks), 0);
	const load = work / (countSlots(header) * header.durationMs);
	assert.ok(Math.abs(load - 0.8) < 0.01, String(load));
});
