import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createCrashRecords} from './crash-records.js';

const task = {job: 'job1', index: 0};

test('a task is condemned once two executors have crashed under it', () => {
	const records = createCrashRecords();
	assert.equal(records.judge(task), 'sound');
	assert.equal(records.addCrash(task, 'e1', {now: 0, isAlone: true}), 1);
	assert.equal(records.judge(task), 'suspect');
	assert.equal(records.addCrash(task, 'e2', {now: 10, isAlone: true}), 2);
	assert.equal(records.judge(task), 'condemned');
	assert.equal(records.findCondemnedTask('job1'), 0);
	assert.equal(records.findCondemnedTask('job2'), undefined);
});

// Guards against blaming a sound task for what ran beside it on two executors: only what ran alone is proved.
test('a task that was never alone is condemned by a third crash', () => {
	const records = createCrashRecords();
	records.addCrash(task, 'e1', {now: 0, isAlone: false});
	records.addCrash(task, 'e2', {now: 10, isAlone: false});
	assert.equal(records.judge(task), 'suspect');
	records.addReported(
		[{...task, crashed: ['e1'], silent: [], alone: ['e1']}],
		20,
	);
	assert.equal(records.judge(task), 'condemned');
	const others = createCrashRecords();
	for (const executor of ['e1', 'e2', 'e3']) {
		others.addCrash(task, executor, {now: 0, isAlone: false});
	}

	assert.equal(others.judge(task), 'condemned');
});

// Guards against counting a crash twice because two hosts report it.
test('a crash that several hosts report counts once', () => {
	const records = createCrashRecords();
	records.addCrash(task, 'e1', {now: 0, isAlone: true});
	records.addReported([{...task, crashed: ['e1'], silent: []}], 5);
	records.addReported([{...task, crashed: ['e1'], silent: ['e1']}], 6);
	assert.equal(
		records.addCrash(task, 'e1', {now: 7, isAlone: true}),
		undefined,
	);
	assert.equal(records.judge(task), 'suspect');
});

// Guards against starting a task on one executor after another before the crash of the earlier ones is
// confirmed.
test('a task is held while silent executors may have crashed under it', () => {
	const records = createCrashRecords();
	records.addSilence(task, 'e1', {now: 0, isAlone: true});
	assert.equal(records.judge(task), 'suspect');
	records.addSilence(task, 'e2', {now: 0, isAlone: true});
	assert.equal(records.judge(task), 'held');
	records.confirmCrash('e1', 10);
	assert.equal(records.judge(task), 'held');
	records.confirmCrash('e2', 20);
	assert.equal(records.judge(task), 'condemned');
});

// Guards against taking a lost connection to an executor for a crash.
test('an executor that answers again has not crashed', () => {
	const records = createCrashRecords();
	records.addSilence(task, 'e1', {now: 0, isAlone: true});
	records.addCrash(task, 'e2', {now: 0, isAlone: true});
	records.clearExecutor('e1');
	records.clearExecutor('e2');
	assert.equal(records.judge(task), 'sound');
});

test('a silence that is neither confirmed as a crash nor cleared expires', () => {
	const records = createCrashRecords();
	records.addSilence(task, 'e1', {now: 0, isAlone: true});
	records.addSilence(task, 'e2', {now: 0, isAlone: true});
	records.forgetOld(9000);
	assert.equal(records.judge(task), 'held');
	records.forgetOld(11_000);
	assert.equal(records.judge(task), 'sound');
	assert.ok(records.isEmpty);
});

test('crashes that this host noticed are reported for a while, those that others reported are not', () => {
	const records = createCrashRecords();
	records.addReported(
		[{job: 'job2', index: 3, crashed: ['e9'], silent: []}],
		0,
	);
	assert.equal(records.listRecent(0), undefined);
	records.addCrash(task, 'e1', {now: 0, isAlone: true});
	assert.deepEqual(records.listRecent(1000), [
		{...task, crashed: ['e1'], silent: [], alone: ['e1']},
	]);
	assert.equal(records.listRecent(3000), undefined);
	assert.deepEqual(records.listByJob('job1'), [
		{...task, crashed: ['e1'], silent: [], alone: ['e1']},
	]);
});

// Guards against memory use that grows with each crash for as long as the process runs.
test('records are bounded in number and age', () => {
	const records = createCrashRecords();
	for (let index = 0; index < 5000; index += 1) {
		records.addCrash({job: `job${index}`, index}, 'e1', {
			now: index,
			isAlone: true,
		});
	}

	assert.equal(records.listByJob('job0'), undefined);
	assert.notEqual(records.listByJob('job4999'), undefined);
	records.forgetOld(100_000);
	assert.ok(records.isEmpty);
});

// Guards against giving up sound tasks whose executors were lost with many others, and against a task that crashes
// executors without end while others are lost.
test('two losses of a task are excused, further ones count', () => {
	const records = createCrashRecords();
	const verdicts: string[] = [];
	for (const executor of ['e1', 'e2', 'e3', 'e4']) {
		records.addSilence(task, executor, {now: 0, isAlone: true});
		records.ignoreLoss(executor, 0);
		records.addCrash(task, executor, {now: 0, isAlone: true});
		verdicts.push(records.judge(task));
	}

	assert.deepEqual(verdicts, ['excused', 'excused', 'suspect', 'condemned']);
});

// Guards against a task that another host holds back because of a silence that its holder has excused.
test('an excused loss is reported, and does not count elsewhere', () => {
	const holder = createCrashRecords();
	const entry = createCrashRecords();
	holder.addSilence(task, 'e1', {now: 0, isAlone: true});
	const former = holder.listByJob('job1')!;
	entry.addReported(former, 0);
	entry.addSilence(task, 'e2', {now: 0, isAlone: true});
	assert.equal(entry.judge(task), 'held');
	holder.ignoreLoss('e1', 10);
	entry.addReported(holder.listRecent(20)!, 20);
	assert.equal(entry.judge(task), 'suspect');
	entry.addReported(former, 30);
	assert.equal(entry.judge(task), 'suspect');
	entry.clearExecutor('e2');
	assert.equal(entry.judge(task), 'excused');
	entry.forgetOld(11_000);
	assert.ok(entry.isEmpty);
});

// Guards against a crash that never counts because an earlier silence of the same process was excused.
test('a crash counts after the executor has answered again', () => {
	const records = createCrashRecords();
	records.addSilence(task, 'e1', {now: 0, isAlone: true});
	records.ignoreLoss('e1', 0);
	records.clearExecutor('e1');
	assert.equal(records.addCrash(task, 'e1', {now: 10, isAlone: true}), 1);
	assert.equal(records.judge(task), 'suspect');
});
