/**
A start that had no answer is carried out late by the next process of its executor, while the task runs elsewhere.
*/
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {callHost, queuePrefix, System, taskCpu} from '../shared-2/system.js';

const [root, recordFile] = process.argv.slice(2);
const hasTrouble = process.env.TROUBLE !== '0';
const rounds = 5;
/** The pages: an order may be carried out 2 to 12 s later. */
const lateMs = 2040;
/** When the executor crashes, after the start was sent, and how long it is away. */
const crashAfterMs = 1750;
const downMs = 150;
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
		hosts: {mieres: 2, langreo: 1},
		executors: {
			mieres: [labels, labels, labels, labels],
			langreo: [labels, labels, labels, labels],
		},
	});
	await delay(3500);
	system.note('all hosts are ready');
	const load = startLoad();
	const near = system.executors.filter(({id}) => id.startsWith('mieres'));
	const jobs = [];
	for (let round = 1; round <= rounds; round += 1) {
		jobs.push(await playRound(round, near));
	}

	await load.stop();
	await delay(500);
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

/** One job of one task, whose first start gets no answer. Resolves with the job's id. */
async function playRound(round, near) {
	const id = randomBytes(8).toString('hex');
	const late = hasTrouble ? delayNextStart(near) : undefined;
	const posted = callHost(system.hosts[0], {
		method: 'POST',
		path: `${queuePrefix}${id}`,
		deadlineMs: 8000,
		agent: false,
		body: {
			spec: JSON.stringify({ms: taskMs, cpu: taskCpu}),
			phases: [{count: 1, cpu: taskCpu, mem_mb: 64, estimated_ms: taskMs}],
			best_effort: true,
		},
	});
	system.note(`round ${round}: POST of job ${id}, one task of ${taskMs} ms`);
	if (late) {
		const {executor, at} = await late;
		system.note(
			`its start at ${executor.id} gets no answer, and is carried out ${lateMs} ms later`,
		);
		await delay(at + crashAfterMs - performance.now());
		system.note(`the task runs on ${listRuns(id)[0]?.executor}`);
		const restarted = executor.startAgain({downMs});
		system.note(`${executor.id} crashed`);
		await restarted;
		system.register(executor);
		system.note(
			`${executor.id} has started again under its id and is registered`,
		);
	}

	const {status, answer} = await posted;
	system.note(`the POST was answered: ${status} ${answer}`);
	await delay(800);
	return id;
}

/** The next start that one of the executors gets is left without an answer and carried out late. Resolves when it is there. */
async function delayNextStart(executors) {
	return new Promise((resolve) => {
		let readsLeft = 2;
		for (const executor of executors) {
			// The stand-in reads it twice: whether the start is late, and how late.
			Object.defineProperty(executor.faults, 'lateStartMs', {
				configurable: true,
				get() {
					if (readsLeft === 0) {
						return 0;
					}

					readsLeft -= 1;
					resolve({executor, at: performance.now()});
					return lateMs;
				},
			});
		}
	});
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

/** What else goes on: short jobs in the other zone. */
function startLoad() {
	const replies = [];
	const agent = new http.Agent({keepAlive: true});
	const timer = setInterval(() => {
		const id = randomBytes(8).toString('hex');
		replies.push(
			callHost(system.hosts.at(-1), {
				method: 'POST',
				path: `${queuePrefix}${id}`,
				deadlineMs: 1500,
				agent,
				body: {
					spec: JSON.stringify({ms: 60, cpu: taskCpu}),
					phases: [{count: 2, cpu: taskCpu, mem_mb: 64, estimated_ms: 60}],
					best_effort: true,
				},
			}),
		);
	}, 200);
	return {
		async stop() {
			clearInterval(timer);
			await Promise.all(replies);
			agent.destroy();
		},
	};
}
