import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createCrashWatch} from './crash-watch.js';
import {noDemand} from './free-capacity.js';
import {type Run} from './run.js';

function makeRun(index: number, run: Partial<Run> = {}): Run {
	return {
		job: 'job1',
		index,
		attempt: 1,
		demand: noDemand,
		state: 'running',
		startedAt: 0,
		isUnclaimed: false,
		...run,
	};
}

function createWatch(isDraining = false) {
	const calls: string[] = [];
	const list = (runs: readonly Run[]) => runs.map(({index}) => index).join(' ');
	const watch = createCrashWatch({
		isDraining: () => isDraining,
		onSilence(runs) {
			calls.push(`silence ${list(runs)}`);
		},
		onNotCrashed() {
			calls.push('cleared');
		},
		onCrash(runs) {
			calls.push(`crash ${list(runs)}`);
		},
	});
	return {watch, calls};
}

test('a crash is blamed on the current runs and on those given up during the silence before it', () => {
	const {watch, calls} = createWatch();
	watch.noteLeaseExpired([makeRun(0)]);
	watch.noteProcessEnded([makeRun(1)]);
	assert.deepEqual(calls, ['silence 0', 'crash 0 1']);
});

// Guards against blaming tasks for a crash although they were stopped before it, or never ran because the
// executor refused them.
test('a run that was stopped or refused is not blamed', () => {
	const {watch, calls} = createWatch();
	watch.noteProcessEnded([
		makeRun(0, {stoppedAt: 10}),
		makeRun(1, {isRefused: true}),
		makeRun(2, {state: 'stopping'}),
	]);
	assert.deepEqual(calls, ['crash 2']);
});

test('an executor that answers again is cleared', () => {
	const {watch, calls} = createWatch();
	watch.noteLeaseExpired([makeRun(0)]);
	watch.noteAnswer();
	watch.noteProcessEnded([]);
	assert.deepEqual(calls, ['silence 0', 'cleared', 'crash ']);
});

// Guards against taking a planned shutdown of an executor for a crash.
test('an executor that drains has not crashed', () => {
	const {watch, calls} = createWatch(true);
	watch.noteLeaseExpired([makeRun(0)]);
	watch.noteProcessEnded([makeRun(1)]);
	assert.deepEqual(calls, ['cleared']);
});
