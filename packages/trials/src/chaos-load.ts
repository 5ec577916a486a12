/**
The callers of a chaos run: both examples' services, by ids under issuers that may be long gone,
resubmitted elsewhere after a lost answer, some sent to several hosts at once, some cancelled.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {
	cancelOnce,
	fetchIssuer,
	makeJobId,
	runJob,
	submitOnce,
	type JobOutcome,
} from './caller.js';
import {type RunningSystem} from './harness.js';

const streams = [
	{service: 'meals', team: 'cooks'},
	{service: 'quotes', team: 'brokers'},
];

/** Between two jobs, milliseconds: some 40 a second. */
const gapMs = 25;
const tasksMost = 24;
const runMs = {least: 5, most: 250};
const deadlineMs = 6000;
/** Longer than every fault, its end, and the deadline: then each caller has an answer. */
const limitMs = 40_000;
/** One of so many jobs goes to three hosts at once; one of so many is cancelled. */
const oneOf = {twin: 5, cancel: 10};
/** Callers take a new issuer this often, milliseconds. */
const issuerMs = 1000;

/** Submits jobs until told to stop; then waits for the answers. */
export async function runLoad(
	system: RunningSystem,
	seed: number,
	durationMs: number,
): Promise<JobOutcome[]> {
	const generator = xoroshiro128plus(seed + 1);
	const drawInt = (least: number, most: number) =>
		unsafeUniformIntDistribution(least, most, generator);
	const issuers = await Promise.all(
		system.urls.map(async (url) => fetchIssuer(url)),
	);
	const refresh = setInterval(() => {
		refreshIssuers(system, issuers);
	}, issuerMs);
	const outcomes: Array<Promise<JobOutcome>> = [];
	const end = performance.now() + durationMs;
	while (performance.now() < end) {
		outcomes.push(submitDrawn(system, issuers, drawInt));
		await delay(gapMs);
	}

	clearInterval(refresh);
	return Promise.all(outcomes);
}

function refreshIssuers(system: RunningSystem, issuers: string[]): void {
	for (const [i, url] of system.urls.entries()) {
		fetchIssuer(url).then((issuer) => {
			issuers[i] = issuer;
		}, ignoreError);
	}
}

/** A host that is down gives no new issuer; callers go on with the old one. */
function ignoreError(): void {
	// Nothing to do.
}

async function submitDrawn(
	system: RunningSystem,
	issuers: readonly string[],
	drawInt: (least: number, most: number) => number,
): Promise<JobOutcome> {
	const {urls} = system;
	const id = makeJobId(issuers[drawInt(0, issuers.length - 1)]!);
	const first = drawInt(0, urls.length - 1);
	const ordered = [...urls.slice(first), ...urls.slice(0, first)];
	const tasks = Array.from({length: drawInt(1, tasksMost)}, (_, i) => ({
		ms: drawInt(runMs.least, runMs.most),
		value: `${id}#${i}`,
	}));
	const stream = streams[drawInt(0, streams.length - 1)]!;
	const submission = {...stream, deadlineMs, tasks};
	if (drawInt(1, oneOf.twin) === 1) {
		for (const url of ordered.slice(1, 3)) {
			submitOnce(url, id, submission).catch(ignoreError);
		}
	}

	if (drawInt(1, oneOf.cancel) === 1) {
		const cancelMs = drawInt(1, 500);
		setTimeout(() => {
			cancelOnce(ordered[2]!, id).catch(ignoreError);
		}, cancelMs);
	}

	return runJob(ordered, id, submission, {limitMs});
}

/** After all faults have ended, every host has to serve: a job at each, all to be complete. */
export async function runRecoveryJobs(
	system: RunningSystem,
): Promise<JobOutcome[]> {
	return Promise.all(
		system.urls.flatMap((url) =>
			streams.map(async (stream) => {
				const id = makeJobId(await fetchIssuer(url));
				const tasks = Array.from({length: 5}, (_, i) => ({ms: 20, value: i}));
				return runJob([url], id, {...stream, tasks}, {limitMs});
			}),
		),
	);
}
