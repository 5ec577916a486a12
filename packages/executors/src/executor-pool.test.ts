import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {ExecutorPool} from './executor-pool.js';
import {type TaskOutcome, type TaskRequest} from './outcome.js';

/** Starts an executor that records the ids of the tasks it receives, and a connection pool to it. */
async function openPool(context: TestContext, maxIdleConnections: number) {
	const taskIds: unknown[] = [];
	const server = createServer((request, response) => {
		taskIds.push(request.headers['gentianshift-task']);
		response.end('done');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const pool = new ExecutorPool({
		address: `127.0.0.1:${port}`,
		maxIdleConnections,
		slots: 8,
	});
	context.after(async () => {
		await pool.destroy();
		server.close();
	});
	const sendTask = async (request: Partial<TaskRequest>) =>
		new Promise<TaskOutcome>((resolve) => {
			pool.sendTask(
				{
					taskId: 'job1/0',
					path: '/run',
					payload: '{}',
					limitMs: 5000,
					deadlineMs: 5000,
					isUsable: () => true,
					...request,
				},
				resolve,
			);
		});
	return {taskIds, sendTask};
}

for (const [kind, maxIdleConnections] of [
	['kept open', 1],
	['closed after each request', 0],
] as const) {
	// A host resumes after a pause and opens a connection only then. Meanwhile the executor may have been
	// asked to leave, so the task that waited for the connection must not be sent to it.
	test(`a request that waited for a connection (${kind}) is not written after its slot has become unusable`, async (context) => {
		const {taskIds, sendTask} = await openPool(context, maxIdleConnections);
		let isUsable = true;
		const withheld = sendTask({isUsable: () => isUsable});
		isUsable = false;
		const outcome = await withheld;
		assert.equal(outcome.result, 'withheld');
		const next = await sendTask({taskId: 'job1/1'});
		assert.equal(next.result, 'done');
		assert.deepEqual(taskIds, ['job1/1']);
	});
}
