/**
Tests of a group whose data centre is evacuated, and of entries that place tasks elsewhere meanwhile.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw} from '@gentianshift/standins';
import {createGroupDirectory} from './group-directory.js';
import {type StartPermission} from './group-scheduler.js';
import {
	listOutcomes,
	makePart,
	makeTasks,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';
import {makeState} from './group-state.fixture.js';
import {
	createLoadSystem,
	planJobs,
	runJobs,
	setEvacuated,
	type Outcome,
} from './load-system.fixture.js';

async function openGroup(count: number) {
	const permission: {current: StartPermission} = {current: 'granted'};
	const group = await openScheduler(
		{
			count,
			taskMs: 300,
			getDemand: () => ({cpu: 14_000, memoryMb: 64, accelerators: 0}),
		},
		{getStartPermission: () => permission.current},
	);
	return {
		...group,
		setPermission(next: StartPermission) {
			permission.current = next;
			group.scheduler.applyStartPermission();
		},
	};
}

// Guards against tasks that wait where nothing will be started, and against runs that an evacuation stops.
test('what runs in an evacuated data centre ends there, and what waits is returned at once', async () => {
	const {clock, executors, scheduler, entry, setPermission} =
		await openGroup(1);
	scheduler.receive(entry, makePart(clock, {tasks: makeTasks(3)}));
	await clock.run(20);
	assert.equal(executors.runs.length, 2);
	setPermission('evacuated');
	assert.deepEqual(listOutcomes(entry), ['returned']);
	assert.equal(entry.endMessages.at(-1)?.reason, 'elsewhere');
	await runFor(clock, 600, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry).toSorted(), [
		'done',
		'done',
		'returned',
	]);
	assert.equal(executors.runs.length, 2);
});

// Guards against an entry that has yet to learn of the evacuation and is told that the group is full, which counts
// towards a refusal.
test('a part that arrives during an evacuation is returned for another group', async () => {
	const {clock, executors, scheduler, entry, setPermission} =
		await openGroup(1);
	setPermission('evacuated');
	scheduler.receive(entry, makePart(clock, {admitInMs: 200}));
	assert.equal(entry.endMessages.at(-1)?.reason, 'elsewhere');
	assert.equal(executors.runs.length, 0);
	const {free, capacity} = scheduler.describeState();
	assert.deepEqual({free, capacity}, {free: [], capacity: 0});
});

// Guards against a host that has just started and starts tasks before it knows whether it may.
test('tasks wait while evacuations are not known, and start once they are', async () => {
	const {clock, executors, scheduler, entry, setPermission} =
		await openGroup(1);
	setPermission('unknown');
	scheduler.receive(entry, makePart(clock, {isMoved: true}));
	await clock.run(50);
	assert.equal(executors.runs.length, 0);
	assert.deepEqual(listOutcomes(entry), []);
	setPermission('granted');
	await clock.run(50);
	assert.equal(executors.runs.length, 1);
});

// Guards against tasks of a retry that start in a data centre that was evacuated during the run before.
test('a task that fails during an evacuation is returned, not started again', async () => {
	const {clock, executors, scheduler, entry, setPermission} =
		await openGroup(2);
	scheduler.receive(entry, makePart(clock));
	await clock.run(20);
	setPermission('evacuated');
	executors.crash(executors.fakes.find(({active}) => active.length > 0)!);
	await runFor(clock, 1500, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
	assert.deepEqual(listOutcomes(entry), ['returned']);
});

test('no group is open in an evacuated data centre', () => {
	const evacuated = new Set<string>();
	const groups = createGroupDirectory({
		isEvacuated: (group) => evacuated.has(group),
	});
	assert.equal(groups.areAllEvacuated(), false);
	groups.update('mieres_m1', makeState('mieres'), 0);
	groups.update('tineo_t1', makeState('tineo'), 0);
	const listOpen = () => groups.listOpen(0).map(({group}) => group);
	evacuated.add('mieres');
	assert.deepEqual(listOpen(), ['tineo']);
	assert.equal(groups.areAllEvacuated(), false);
	evacuated.add('tineo');
	assert.deepEqual(listOpen(), []);
	assert.equal(groups.areAllEvacuated(), true);
});

const spanMs = 6000;
const evacuatedFrom = 1000;
const evacuatedUntil = 3500;
/** Of the executors' capacity; two of three data centres have 0.67 of it. */
const loadAtUsual = 0.8;

function countShare(
	outcomes: readonly Outcome[],
	isCounted: (outcome: Outcome) => boolean,
): number {
	return (
		outcomes.filter((outcome) => isCounted(outcome)).length / outcomes.length
	);
}

function isInTime({answer, tookMs, objectiveMs}: Outcome): boolean {
	return answer === 'completed' && tookMs <= objectiveMs;
}

// Pattern: a data centre is evacuated at 1.2 times the usual load, so that the others have a little less capacity than
// the load. Its callers are served by the others like theirs, what can't be served is refused at once, and the data
// centre is used again as soon as it is taken back.
for (const seed of [1, 2, 3]) {
	test(`callers of an evacuated data centre are served by the others at 1.2 times the usual load (seed ${seed})`, async () => {
		const system = createLoadSystem();
		const jobs = planJobs({
			draw: createDraw(seed),
			spanMs,
			getLoad: () => 1.2 * loadAtUsual,
		});
		const startUpMs = 500;
		system.clock.schedule(startUpMs + evacuatedFrom, () => {
			setEvacuated(system, 'mieres', true);
		});
		system.clock.schedule(startUpMs + evacuatedUntil, () => {
			setEvacuated(system, 'mieres', false);
		});
		const outcomes = await runJobs(system, jobs);
		assert.equal(outcomes.length, jobs.length, 'every caller gets one answer');

		const mieres = system.groups.find(({name}) => name === 'mieres')!;
		const startedThere = mieres.executors.runs.filter(
			({startedAt}) =>
				startedAt > startUpMs + evacuatedFrom &&
				startedAt < startUpMs + evacuatedUntil,
		);
		assert.deepEqual(startedThere, []);

		const during = outcomes.filter(
			({at}) => at > evacuatedFrom && at < evacuatedUntil,
		);
		const ofMieres = during.filter(({from}) => from === 'mieres');
		const ofOthers = during.filter(({from}) => from !== 'mieres');
		const served = countShare(during, isInTime);
		assert.ok(served >= 0.6, `in time: ${served}`);
		const gap = countShare(ofOthers, isInTime) - countShare(ofMieres, isInTime);
		assert.ok(
			gap < 0.1,
			`callers of the data centre are served worse by ${gap}`,
		);
		const unserved = during.filter(({answer}) => answer !== 'completed');
		const countTold = (factor: number) =>
			countShare(
				unserved,
				({tookMs, objectiveMs}) => tookMs <= factor * objectiveMs,
			);
		assert.ok(
			countTold(1) >= 0.5,
			`told before the objective: ${countTold(1)}`,
		);
		assert.ok(countTold(3) >= 0.95, `told while of use: ${countTold(3)}`);
		const after = outcomes.filter(({at}) => at > evacuatedUntil + 1500);
		const servedAfter = countShare(after, isInTime);
		assert.ok(servedAfter >= 0.95, `in time after: ${servedAfter}`);
	});
}
