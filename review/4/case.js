/**
A renewal of a former holder is carried out late, by the next process of its executor. A run there goes on under the lease that it
extends, while the new holder, which can't reach the executor, has started the task elsewhere.
*/
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {callHost, queuePrefix, System, taskCpu} from '../shared-2/system.js';

const [root, recordFile] = process.argv.slice(2);
const hasTrouble = process.env.TROUBLE !== '0';
const rounds = 3;
/** The pages: an order may be carried out 2 to 12 s later. */
const leastLateMs = 2000;
/** How long the crashed executor is away. */
const downMs = 200;
/** When the late renewal is carried out, after the planned stop of the holder began. */
const lateAfterStopMs = 450;
const cutMs = 2500;
const taskMs = 3300;
/** Shorter overlaps could come of the clocks' resolution. */
const leastOverlapMs = 20;

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
	const labels = ['a', 'r1'];
	await system.start({
		hosts: {mieres: 3},
		executors: {
			mieres: [labels, labels, labels, labels, labels, labels, labels, labels],
		},
	});
	await delay(3500);
	system.note('all hosts are ready');
	const jobs = [];
	for (let round = 1; round <= rounds; round += 1) {
		jobs.push(await playRound(round));
	}

	const overlaps = jobs.flatMap((id) => findOverlaps(id));
	for (const text of overlaps) {
		system.note(text);
	}

	system.note(
		overlaps.length > 0
			? `TWICE broken: in ${overlaps.length} of ${rounds} rounds a task ran twice at the same time`
			: 'TWICE held',
	);
	return overlaps.length > 0 ? 1 : 0;
}

async function playRound(round) {
	const [executor] = system.executors;
	const proxy = system.proxies.get(executor);
	const holder = system.findHolder('mieres');
	const entry = system.hosts.find((host) => host !== holder);
	system.note(
		`round ${round}: ${holder.name} holds the group, the client's jobs go to ${entry.name}`,
	);
	const heldUp = hasTrouble
		? proxy.holdNext(
				(url, {deadline_ms: untilMs}) =>
					url === '/v1/hold' && untilMs !== undefined,
			)
		: undefined;
	const former = submit(entry, 600);
	const renewal = await heldUp;
	const heldUpAt = performance.now();
	if (renewal) {
		system.note(`a renewal at ${executor.id} gets no answer: ${renewal.text}`);
	}

	await former.answered;
	if (hasTrouble) {
		const restarted = executor.startAgain({downMs});
		system.note(`${executor.id} crashed`);
		await restarted;
		system.register(executor);
		system.note(
			`${executor.id} has started again under its id and is registered`,
		);
	}

	await delay(1000);
	const job = submit(entry, taskMs);
	const lateFromMs = heldUpAt + leastLateMs - lateAfterStopMs;
	await delay(Math.max(250, lateFromMs - performance.now()));
	system.note(`its task runs on ${listRuns(job.id)[0]?.executor}`);
	if (hasTrouble) {
		proxy.isCut = true;
		holder.child.kill('SIGTERM');
		system.note(
			`${executor.id} is cut off from the hosts, ${holder.name} is stopped (SIGTERM)`,
		);
		await delay(lateAfterStopMs);
		system.note(
			`the renewal is carried out at ${executor.id}, ${Math.round(performance.now() - heldUpAt)} ms after it was sent`,
		);
		const reply = await proxy.deliver(renewal);
		system.note(
			`its answer, which nobody reads: ${reply?.status} ${reply?.text}`,
		);
		await delay(cutMs - lateAfterStopMs);
		proxy.isCut = false;
		system.note(`${executor.id} can be reached again`);
	}

	const {status, answer} = await job.answered;
	system.note(`the POST was answered: ${status} ${answer}`);
	if (hasTrouble) {
		await waitForEnd(holder);
		system.startProcess(holder);
		await system.waitUntilReady();
	}

	await delay(2500);
	return job.id;
}

function submit(host, ms) {
	const id = randomBytes(8).toString('hex');
	system.note(`POST of job ${id} to ${host.name}: one task of ${ms} ms`);
	return {
		id,
		answered: callHost(host, {
			method: 'POST',
			path: `${queuePrefix}${id}`,
			deadlineMs: 9000,
			agent: false,
			body: {
				spec: JSON.stringify({ms, cpu: taskCpu}),
				phases: [{count: 1, cpu: taskCpu, mem_mb: 64, estimated_ms: ms}],
				best_effort: true,
			},
		}),
	};
}

async function waitForEnd({child}) {
	while (child.exitCode === null && child.signalCode === null) {
		await delay(50);
	}
}

function listRuns(id) {
	return system.executors.flatMap(({seen}) =>
		seen.filter(({task}) => task.startsWith(`${id}.`)),
	);
}

function findOverlaps(id) {
	const runs = listRuns(id).toSorted((a, b) => a.startedAt - b.startedAt);
	for (const run of runs) {
		system.note(
			`run of ${run.task} attempt ${run.attempt} on ${run.executor}: ${format(run.startedAt)} to ${format(run.endedAt)}, ${run.how}`,
		);
	}

	return runs.flatMap((run, i) =>
		runs.slice(i + 1).flatMap((other) => {
			const ms = Math.min(run.endedAt, other.endedAt) - other.startedAt;
			return ms > leastOverlapMs
				? `${run.task} ran on ${run.executor} and on ${other.executor} at the same time, for ${Math.round(ms)} ms`
				: [];
		}),
	);
}

function format(at) {
	return ((at - system.startedAt) / 1000).toFixed(3);
}
