/**
A cancel that reaches a host which is just starting is answered with 410 and carried out nowhere.
*/
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {bounds, callHost, queuePrefix, System, taskCpu} from '../system-2.js';

const [root, recordFile] = process.argv.slice(2);
const hasTrouble = process.env.TROUBLE !== '0';
const taskMs = 1500;
/** The widest job of `stock-reorder` in the site file. */
const tasks = 16;
const patienceMs = 15_000;
const watchMs = 5000;

const system = new System(path.resolve(root));
let code = 2;
try {
	code = await play();
} catch (error) {
	system.note(`the case could not run: ${error}`);
} finally {
	await system.end();
	writeFileSync(recordFile, `${system.lines.join('\n')}\n`);
}

process.exit(code);

async function play() {
	await system.start({
		queue: {slack_factor: 5, timeout_ms: patienceMs},
		hosts: {mieres: 3},
		executors: {
			mieres: [
				['a', 'r1'],
				['a', 'r1'],
			],
		},
	});
	await delay(3500);
	const holder = system.findHolder('mieres');
	const [own, other] = system.hosts.filter((host) => host !== holder);
	system.note(
		`all hosts are ready; ${holder.name} holds the group; the client's connections go to ${own.name}`,
	);

	const id = randomBytes(8).toString('hex');
	if (hasTrouble) {
		const first = submit(own, id);
		await waitForStart(id, 0);
		await system.kill(own);
		const {status, answer} = await first;
		system.note(
			`${own.name} was killed (SIGKILL); the POST ended without an answer: ${status} ${answer}`,
		);
		await delay(bounds.retransmitMs);
	}

	const sentAt = performance.now();
	const posted = submit(other, id);
	await waitForStart(id, sentAt);
	if (hasTrouble) {
		system.startProcess(own);
		system.note(`${own.name} is started again`);
	}

	const acknowledged = await cancel(own, id);
	const acknowledgedAt = performance.now();
	system.note(
		`DELETE answered by ${own.name}: ${acknowledged.status} ${acknowledged.answer}`,
	);
	if (![200, 410].includes(acknowledged.status)) {
		return 2;
	}

	await delay(bounds.cancelMs + watchMs);
	const answered = await posted;
	system.note(`the POST was answered: ${answered.status} ${answered.answer}`);
	const starts = listStarts(id);
	for (const run of starts) {
		system.note(
			`run of ${run.task} attempt ${run.attempt} on ${run.executor}: started ${format(run.startedAt - acknowledgedAt)} after the cancel was acknowledged, ${run.how ?? 'still runs'}`,
		);
	}

	const late = starts.filter(
		(run) => run.startedAt > acknowledgedAt + bounds.cancelMs,
	);
	system.note(
		late.length > 0
			? `UNASKED broken: ${late.length} tasks were started later than ${bounds.cancelMs} ms after the cancel was acknowledged`
			: 'UNASKED held',
	);
	return late.length > 0 ? 1 : 0;
}

function submit(host, id) {
	system.note(
		`POST of job ${id} sent to ${host.name}: ${tasks} tasks of ${taskMs} ms`,
	);
	return callHost(host, {
		method: 'POST',
		path: `${queuePrefix}${id}`,
		deadlineMs: patienceMs,
		agent: false,
		body: {
			spec: JSON.stringify({ms: taskMs, cpu: taskCpu}),
			phases: [{count: tasks, cpu: taskCpu, mem_mb: 64, estimated_ms: taskMs}],
			best_effort: true,
		},
	});
}

async function waitForStart(id, since) {
	while (!listStarts(id).some(({startedAt}) => startedAt > since)) {
		await delay(10);
	}

	system.note('its first tasks have been started');
}

/** As soon as the host takes connections. */
async function cancel(host, id) {
	for (;;) {
		const reply = await callHost(host, {
			method: 'DELETE',
			path: `${queuePrefix}${id}`,
			agent: false,
		});
		if (reply.status !== 0) {
			return reply;
		}

		await delay(20);
	}
}

function listStarts(id) {
	return system.executors.flatMap(({seen}) =>
		seen.filter(({task}) => task.startsWith(`${id}.`)),
	);
}

function format(ms) {
	return `${Math.round(ms)} ms`;
}
