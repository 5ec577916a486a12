import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type LeaseReply} from './executor-control.js';
import {noDemand} from './free-capacity.js';
import {createRunTable} from './run-table.js';
import {type Run} from './run.js';

function makeRun(run: Partial<Run> = {}): Run {
	return {
		job: 'job1',
		index: 0,
		attempt: 1,
		demand: {...noDemand, cpu: 14_000},
		state: 'running',
		startedAt: 0,
		acceptedAt: 5,
		isUnclaimed: false,
		...run,
	};
}

function makeReport(report: Partial<LeaseReply> = {}): LeaseReply {
	return {clockMs: 0, running: [], ended: [], hasMoreEnds: false, ...report};
}

const context = {
	sentAt: 10,
	now: 20,
	assumedDemand: {...noDemand, cpu: 16_000},
};

test('a report ends runs, adds unknown ones and updates the demand in use', () => {
	const table = createRunTable();
	const run = makeRun();
	table.add(run);
	const {ended, found} = table.applyReport(
		makeReport({
			running: [{job: 'job2', index: 3, attempt: 2}],
			ended: [
				{job: 'job1', index: 0, attempt: 1, sequence: 1, outcome: 'done'},
			],
		}),
		context,
	);
	assert.deepEqual(ended, [{run, outcome: 'done'}]);
	assert.deepEqual(
		found.map(({job, index, attempt, isUnclaimed: isFound}) => ({
			job,
			index,
			attempt,
			isFound,
		})),
		[{job: 'job2', index: 3, attempt: 2, isFound: true}],
	);
	assert.equal(table.usedDemand.cpu, 16_000);
	assert.equal(table.acknowledged, 1);
});

test('an end that is listed again changes nothing', () => {
	const table = createRunTable();
	const end = {
		job: 'job1',
		index: 0,
		attempt: 1,
		sequence: 1,
		outcome: 'done',
	} as const;
	table.applyReport(makeReport({ended: [end]}), context);
	const again = makeRun({acceptedAt: 15});
	table.add(again);
	const {ended} = table.applyReport(makeReport({ended: [end]}), context);
	assert.deepEqual(ended, []);
	assert.ok(table.isCurrent(again));
});

// The executor was asked before it accepted the run, so its answer can't list the run. If the run were taken
// for lost, its task would be started again.
test('a run is not missing from a report that was asked for before it was accepted', () => {
	const table = createRunTable();
	table.add(makeRun({acceptedAt: 15}));
	assert.deepEqual(table.applyReport(makeReport(), context).ended, []);
	const later = table.applyReport(makeReport(), {...context, sentAt: 16});
	assert.deepEqual(
		later.ended.map(({outcome}) => outcome),
		['lost'],
	);
});

// More runs have ended than fit into one reply. Those whose ends come with the next reply are in neither list
// of this one. If they were taken for lost, tasks that are done would run a second time.
test('a run is not missing from a report that has more ends to come', () => {
	const table = createRunTable();
	table.add(makeRun());
	const part = makeReport({hasMoreEnds: true});
	assert.deepEqual(table.applyReport(part, context).ended, []);
});

// Tasks are started although a run of an earlier holder may be theirs, or nothing is started beside a run that was
// claimed long ago, if the number of unclaimed runs is wrong.
test('unclaimed runs count until they are claimed or over', () => {
	const table = createRunTable();
	const running = [0, 1].map((index) => ({job: 'job1', index, attempt: 1}));
	const {found} = table.applyReport(makeReport({running}), context);
	assert.equal(table.unclaimedRunCount, 2);
	table.claim(found[0]!, {...noDemand, cpu: 14_000});
	assert.equal(table.unclaimedRunCount, 1);
	assert.equal(table.usedDemand.cpu, 14_000 + 16_000);
	table.remove(found[0]!);
	table.remove(found[1]!);
	assert.equal(table.unclaimedRunCount, 0);
	assert.equal(table.usedDemand.cpu, 0);
	assert.equal(table.hasUnclaimedRuns, false);
});
