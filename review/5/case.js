/**
A job is cancelled while the host that was sent it is frozen. The host wakes, and its tasks are started.
*/
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {bounds, callHost, queuePrefix, System, taskCpu} from '../system-2.js';

const [root, recordFile] = process.argv.slice(2);
const hasTrouble = process.env.TROUBLE !== '0';
/** How long the host stands still: the site file's `node_freeze`. */
const freezeMs = 4000;
const taskMs = 900;
const tasks = 4;
const patienceMs = 15_000;
const watchMs = 3000;

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
	const [entry, other] = system.hosts.filter((host) => host !== holder);
	system.note(
		`all hosts are ready; ${holder.name} holds the group; the client's job goes to ${entry.name}`,
	);
	if (hasTrouble) {
		entry.child.kill('SIGSTOP');
		system.note(`${entry.name} freezes (SIGSTOP)`);
	}

	const id = randomBytes(8).toString('hex');
	const posted = callHost(entry, {
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
	system.note(
		`POST of job ${id} sent to ${entry.name}: ${tasks} tasks of ${taskMs} ms`,
	);
	await delay(300);
	const acknowledged = await cancel(other, id);
	const acknowledgedAt = performance.now();
	system.note(
		`DELETE answered by ${other.name}: ${acknowledged.status} ${acknowledged.answer}`,
	);
	if (![200, 410].includes(acknowledged.status)) {
		return 2;
	}

	await delay(freezeMs - 300);
	if (hasTrouble) {
		entry.child.kill('SIGCONT');
		system.note(`${entry.name} wakes (SIGCONT)`);
	}

	await delay(watchMs);
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
