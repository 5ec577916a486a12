import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createUnsettledOrders} from './unsettled-orders.js';

// An executor that answers again sends several reports before its first stop is answered. If each report began its
// own round, two rounds would stop the first start and remove two from the list; the second start would be carried
// out later.
test('reports that arrive while starts are being cancelled skip none of them', async () => {
	const orders = createUnsettledOrders();
	orders.add({job: 'job1', index: 0, attempt: 1}, 0);
	orders.add({job: 'job2', index: 0, attempt: 1}, 0);
	const stopped: string[] = [];
	const stop = async ({job}: {job: string}) => {
		await Promise.resolve();
		stopped.push(job);
		return true;
	};

	const settled = await Promise.all([orders.settle(stop), orders.settle(stop)]);
	assert.deepEqual(settled, [true, true]);
	assert.deepEqual(stopped, ['job1', 'job2']);
	assert.ok(orders.isEmpty);
});

test('a start that could not be stopped is kept for the next round', async () => {
	const orders = createUnsettledOrders();
	orders.add({job: 'job1', index: 0, attempt: 1}, 0);
	assert.equal(await orders.settle(async () => false), false);
	assert.equal(orders.isEmpty, false);
	assert.equal(await orders.settle(async () => true), true);
	assert.ok(orders.isEmpty);
});
