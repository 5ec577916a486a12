import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {createLogger} from './logger.js';
import {createMetrics} from './metrics.js';

test('metrics of two hosts in one process stay apart', async () => {
	const [one, two] = [createMetrics(), createMetrics()];
	one.tasksStarted.inc(3);
	one.refusals.inc({code: 'overloaded'});
	const rendered = await one.render();
	assert.match(rendered, /gentianshift_tasks_started_total 3/v);
	assert.match(rendered, /gentianshift_refusals_total\{code="overloaded"\} 1/v);
	assert.match(rendered, /process_cpu_seconds_total/v);
	assert.match(await two.render(), /gentianshift_tasks_started_total 0/v);
});

test('a log line is JSON with host and data centre, and lower levels are left out', () => {
	const stream = new PassThrough();
	const logger = createLogger({
		level: 'info',
		host: 'm1',
		dataCentre: 'mieres',
		stream,
	});
	logger.debug('left out');
	logger.info({job: 'x'}, 'job admitted');
	const line = JSON.parse(String(stream.read())) as Record<string, unknown>;
	assert.equal(line.host, 'm1');
	assert.equal(line.dataCentre, 'mieres');
	assert.equal(line.msg, 'job admitted');
});
