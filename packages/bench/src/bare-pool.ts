/**
The yardstick of dispatch cost: a bare undici pool that posts tasks to an executor, in a process
of its own. Usage: `bare-pool.ts ADDRESS CONNECTIONS SECONDS`; prints one JSON line.
*/
import process from 'node:process';
import {Pool} from 'undici';

const [address = '', connections = '', seconds = ''] = process.argv.slice(2);
const width = Number(connections);
const pool = new Pool(`http://${address}`, {connections: width, pipelining: 1});
const body = JSON.stringify({ms: 0});
const begin = performance.now();
const end = begin + Number(seconds) * 1000;
const usage = process.cpuUsage();
let sent = 0;

async function sendTasks(): Promise<void> {
	while (performance.now() < end) {
		const response = await pool.request({
			path: '/run',
			method: 'POST',
			headers: {
				'content-type': 'application/json',
				'gentianshift-task': `bare/${sent++}`,
			},
			body,
		});
		await response.body.json();
	}
}

await Promise.all(Array.from({length: width}, sendTasks));
const {user, system} = process.cpuUsage(usage);
const result = {
	starts: sent,
	seconds: (performance.now() - begin) / 1000,
	cpuSeconds: (user + system) / 1e6,
};
process.stdout.write(`${JSON.stringify(result)}\n`);
await pool.close();
