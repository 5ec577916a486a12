/**
An executor goes down and comes up again under its id 0.7 s later, while nothing runs there (`srv_flap`, gap_s = 1.4). Then a job comes.
*/
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	call,
	countDoubleRuns,
	makeJob,
	makeJobId,
	prefix,
	runCase,
} from '../lib/system.js';

const hasTrouble = process.env.TROUBLE !== '0';
const cycles = 16;
/** Half of the period of `srv_flap` in the site's list, where gap_s is 1.4. */
const downMs = 700;
/** The host looks at an idle executor once a second, so it misses a restart that falls between two looks. */
const longestBeforeDownMs = 250;
const longestBeforeJobMs = 100;

let system;
const answers = {};

async function submit(host) {
	const id = makeJobId();
	system.record('job sent', {id, host: host.name});
	const reply = await call({
		address: host.frontend,
		method: 'POST',
		path: prefix + id,
		body: makeJob({count: 4, ms: 300}),
		deadlineMs: 1500,
	});
	system.record('job answered', {id, status: reply.status, text: reply.text});
	answers[reply.status] = (answers[reply.status] ?? 0) + 1;
}

async function flap(executor) {
	await new Promise((resolve) => {
		executor.onIdleReport = resolve;
	});
	executor.onIdleReport = () => undefined;
	await sleep(Math.random() * longestBeforeDownMs);
	if (hasTrouble) {
		await executor.crash();
	}

	await sleep(downMs);
	if (hasTrouble) {
		await executor.start();
	}

	await sleep(Math.random() * longestBeforeJobMs);
}

async function run(startedSystem) {
	system = startedSystem;
	await system.start({hosts: {mieres: 2}, executors: {mieres: 9}});
	await sleep(2000);
	for (let cycle = 0; cycle < cycles; cycle += 1) {
		const host = system.hosts[cycle % system.hosts.length];
		await submit(host);
		await sleep(1500);
		await flap(system.executors[0]);
		await submit(host);
	}

	const doubleRuns = countDoubleRuns(system);
	process.stdout.write(
		`jobs answered, by status: ${JSON.stringify(answers)}; tasks that ran twice at once: ${doubleRuns}\n`,
	);
	return doubleRuns > 0;
}

await runCase(import.meta.dirname, run);
