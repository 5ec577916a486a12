/**
A data centre cut off from the others and from the store: each side serves what it can, and no
task runs twice at once.
*/
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {submitJob, type JobReply} from './caller.js';
import {assertNoOverlaps} from './judge.js';
import {openSystem, type SchedulingHostProcess} from './system.js';

/** Hosts have noticed the cut by then, and given up what was under way at the other side. */
const noticedMs = 2500;
const patienceMs = 1500;

/** Jobs at the hosts in turn, each handed in once. */
async function submitInTurn(
	hosts: readonly SchedulingHostProcess[],
	{jobs, everyMs}: {jobs: number; everyMs: number},
): Promise<JobReply[]> {
	const replies: Array<Promise<JobReply>> = [];
	for (let i = 0; i < jobs; i += 1) {
		const host = hosts[i % hosts.length]!;
		replies.push(submitJob(host, {ms: 150, timeLeftMs: patienceMs}));
		await delay(everyMs);
	}

	return Promise.all(replies);
}

/** How many connections to other hosts it has lost so far, by its log. */
function countClosedLinks({process}: SchedulingHostProcess): number {
	const output = readFileSync(process.outputFile, 'utf8');
	return output.match(/"msg":"link down"/gv)?.length ?? 0;
}

function countServed(replies: readonly JobReply[]): number {
	return replies.filter(({state}) => state === 'completed').length;
}

// The lines between two data centres break for seconds. Callers still reach the hosts on either side,
// and each side has executors: its callers are to be served there. Those whose job was at the other
// side are told at once, before their time is over.
test('both sides of a cut go on serving and no task runs twice', async (context) => {
	const system = await openSystem(context, {hasRelays: true});
	await system.sendThroughRelays();
	const before = await submitInTurn(system.hosts, {jobs: 12, everyMs: 60});
	assert.equal(countServed(before), 12);

	const during = submitInTurn(system.hosts, {jobs: 40, everyMs: 60});
	await delay(300);
	const linesBefore = system.hosts.map((host) => countClosedLinks(host));
	await system.applyCut('mieres');
	const hit = await during;
	const unanswered = hit.filter(({tookMs}) => tookMs > patienceMs);
	assert.deepEqual(unanswered, []);
	await delay(noticedMs);
	for (const [i, host] of system.hosts.entries()) {
		const closed = countClosedLinks(host) - linesBefore[i]!;
		assert.ok(closed > 0, `${host.name} noticed no cut`);
	}

	const apart = await submitInTurn(system.hosts, {jobs: 24, everyMs: 60});
	assert.equal(countServed(apart), 24);

	await system.endCut();
	await delay(noticedMs);
	const after = await submitInTurn(system.hosts, {jobs: 12, everyMs: 60});
	assert.equal(countServed(after), 12);
	assertNoOverlaps(system.executors);
});
