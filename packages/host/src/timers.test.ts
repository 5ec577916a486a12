/**
Tests of the passes of the event loop that reading connections takes, with real sockets.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {Worker} from 'node:worker_threads';
import {waitForReads} from './timers.js';

/** The requests and their closes are in the connections by then. */
const blockedMs = 600;
const callerCount = 20;

/** Callers on a thread of their own: each makes a request, sends another one while the first thread is blocked, and leaves. */
const callerCode = String.raw`
	const {connect} = require('node:net');
	const {workerData} = require('node:worker_threads');
	const {port, bodyBytes, callerCount, endsHard} = workerData;
	const head = 'POST /job HTTP/1.1\r\nHost: a\r\nContent-Length: ' + bodyBytes + '\r\n\r\n';
	for (let i = 0; i < callerCount; i += 1) {
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\n');
		socket.once('data', () => {
			setTimeout(() => {
				socket.write(head + 'x'.repeat(bodyBytes));
			}, 150);
			setTimeout(() => {
				if (endsHard) {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}
			}, 300);
		});
	}
`;

function blockThread(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Returns how many jobs were read, and how many of their callers are known to have left once all has been read. */
async function countLeft({
	bodyBytes,
	endsHard,
}: {
	bodyBytes: number;
	endsHard: boolean;
}) {
	const counts = {read: 0, left: 0, firstAnswers: 0};
	const server = createServer((req, res) => {
		if (req.url === '/first') {
			counts.firstAnswers += 1;
			res.end('done');
			return;
		}

		res.once('close', () => {
			counts.left += 1;
		});
		req.on('error', () => undefined);
		req.on('end', () => {
			counts.read += 1;
		});
		req.resume();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const worker = new Worker(callerCode, {
		eval: true,
		workerData: {port, bodyBytes, callerCount, endsHard},
	});
	await once(worker, 'online');
	while (counts.firstAnswers < callerCount) {
		await new Promise<void>((resolve) => {
			setImmediate(resolve);
		});
	}

	const known = await new Promise<typeof counts>((resolve) => {
		setTimeout(() => {
			blockThread(blockedMs);
			waitForReads(() => {
				resolve({...counts});
			});
		});
	});
	await worker.terminate();
	server.close();
	return known;
}

// Guards against a job that is started after a pause although its caller's close lies in the connection behind the request.
test('once all that connections hold has been read, the callers that left are known', async () => {
	for (const bodyBytes of [200, 200_000]) {
		const {read, left} = await countLeft({bodyBytes, endsHard: false});
		assert.equal(read, callerCount);
		assert.equal(left, callerCount);
	}

	// A reset discards what was not read yet.
	const {read, left} = await countLeft({bodyBytes: 200, endsHard: true});
	assert.ok(left >= read);
});
