/**
A host freezes (`node_freeze`) while callers' requests lie unread in its connections. Their callers wait for `Deadline-Ms`, leave, and
send their jobs again 1.3 s later, to a host of another zone. Then the first host wakes.
*/
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	call,
	countDoubleRuns,
	makeJob,
	makeJobId,
	prefix,
	runCase,
} from '../system.js';

const hasTrouble = process.env.TROUBLE !== '0';
const rounds = 6;
const callers = 8;
/** As in the site's list: for_s = 4.0. */
const freezeMs = 4000;
const deadlineMs = 1500;
/** `bounds.retransmit_ms`. */
const resendMs = 1300;

let system;
const answers = {};

async function post(host, agent, id) {
	system.record('job sent', {id, host: host.name});
	const req = call({
		address: host.frontend,
		method: 'POST',
		path: prefix + id,
		body: makeJob({count: 1, ms: 900}),
		deadlineMs,
		agent,
	});
	const reply = await Promise.race([
		req.catch((error) => ({status: error.code})),
		sleep(deadlineMs, {status: 'none'}),
	]);
	system.record('job answered', {id, host: host.name, status: reply.status});
	return reply.status;
}

/**
A caller has a kept connection to its zone's host. When that host is out of rotation, which takes two missed checks, it connects
anew and gets a host of another zone.
*/
async function serveCaller(near, far, frozen) {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	await call({address: near.frontend, path: prefix, agent});
	await frozen;
	// The jobs, sent again 2.8 s later, still run when the host wakes.
	await sleep(300 + 600 * Math.random());
	const id = makeJobId();
	let status = await post(near, agent, id);
	agent.destroy();
	if (status !== 200) {
		await sleep(resendMs);
		const next = new Agent({keepAlive: true});
		status = await post(far, next, id);
		next.destroy();
	}

	answers[status] = (answers[status] ?? 0) + 1;
}

async function run(startedSystem) {
	system = startedSystem;
	await system.start({
		hosts: {mieres: 1, langreo: 1, tineo: 1},
		executors: {mieres: 6, langreo: 6, tineo: 6},
	});
	await sleep(2000);
	const [near, far] = system.hosts;
	for (let round = 0; round < rounds; round += 1) {
		let setFrozen;
		const frozen = new Promise((resolve) => {
			setFrozen = resolve;
		});
		const served = Promise.all(
			Array.from({length: callers}, async () => serveCaller(near, far, frozen)),
		);
		await sleep(500);
		if (hasTrouble) {
			system.signal(near, 'SIGSTOP');
		}

		setFrozen();
		await sleep(freezeMs);
		if (hasTrouble) {
			system.signal(near, 'SIGCONT');
		}

		await served;
		await sleep(4000);
	}

	const doubleRuns = countDoubleRuns(system);
	process.stdout.write(
		`callers' last answers: ${JSON.stringify(answers)}; tasks that ran twice at once: ${doubleRuns}\n`,
	);
	return doubleRuns > 0;
}

await runCase(import.meta.dirname, run);
