/**
A scheduler with fake executors, and an entry that hands jobs to it, for tests on a virtual clock.
*/
import {type Ends, type Part, type Replaced} from '@gentianshift/protocol';
import {type Background} from './background.js';
import {createStrictBackground} from './background.fixture.js';
import {
	createFakeExecutors,
	type FakeExecutors,
} from './fake-executors.fixture.js';
import {type Entry} from './group-job.js';
import {GroupScheduler, type StartPermission} from './group-scheduler.js';
import {singleGroupLayout, type GroupLayout} from './group-layout.js';
import {createCrashRecords} from './crash-records.js';
import {createRunTimes} from './run-times.js';
import {VirtualClock} from './virtual-clock.fixture.js';

/**
Creates an entry that collects the messages sent to it: ends of tasks, and answers to messages that replace
copies.
*/
export function createEntry(
	key = 'mieres_m1.0',
): Entry & {endMessages: Ends[]; replacedMessages: Replaced[]} {
	const endMessages: Ends[] = [];
	const replaced: Replaced[] = [];
	return {
		key,
		endMessages,
		replacedMessages: replaced,
		send(message) {
			if (message.t === 'ends') {
				endMessages.push(message);
			} else if (message.t === 'replaced') {
				replaced.push(message);
			}
		},
	};
}

export function createScheduler(
	clock: VirtualClock,
	{control, executors}: FakeExecutors,
	token: number,
	{
		capacityElsewhere = 0,
		isListComplete = true,
		peers = [],
		getStartPermission = () => 'granted',
		log = () => undefined,
		background = createStrictBackground(),
		layout = singleGroupLayout,
		hasRunsOutside = false,
		formerToken = token - 1,
		isHeldElsewhere = () => false,
		listUnconfirmed = () => [],
	}: {
		/** Number of tasks for which other groups have free capacity. */
		capacityElsewhere?: number;
		isListComplete?: boolean;
		/** Keys of the other hosts. */
		peers?: readonly string[];
		getStartPermission?: () => StartPermission;
		log?: (message: string, fields: Record<string, unknown>) => void;
		background?: Background;
		layout?: GroupLayout;
		hasRunsOutside?: boolean;
		formerToken?: number;
		isHeldElsewhere?: (executor: string) => boolean;
		listUnconfirmed?: () => readonly string[];
	} = {},
): GroupScheduler {
	let capacityLeftElsewhere = capacityElsewhere;
	const scheduler = new GroupScheduler({
		group: 'mieres',
		dataCentre: 'mieres',
		getLayout: () => layout,
		hasRunsOutside,
		formerToken,
		isHeldElsewhere,
		token,
		now: () => clock.now,
		readBootTime: () => clock.now,
		wait: clock.wait,
		background,
		control,
		runTimes: createRunTimes(),
		crashes: createCrashRecords(),
		cancelledJobs: {findAge: () => undefined},
		onFenced() {
			scheduler.close();
		},
		onChange() {
			// These tests need no notification.
		},
		takeCapacityElsewhere(_cpu, tasks) {
			const taken = Math.min(tasks, capacityLeftElsewhere);
			capacityLeftElsewhere -= taken;
			return taken;
		},
		listPeers: () => peers,
		isLeaving: () => false,
		getSuccessor: () => undefined,
		getStartPermission,
		isListComplete: () => isListComplete,
		isListFresh: () => true,
		listUnconfirmed,
		getStoreAgeMs: () => 0,
		log,
	});
	scheduler.setExecutors(executors);
	return scheduler;
}

/**
Opens the first holder of a group of fake executors, once these have answered it, and creates an entry that has
handed over nothing yet.
*/
export async function openScheduler(
	options: Parameters<typeof createFakeExecutors>[1],
	schedulerOptions?: Parameters<typeof createScheduler>[3],
) {
	const clock = new VirtualClock();
	const executors = createFakeExecutors(clock, options);
	const scheduler = createScheduler(clock, executors, 1, schedulerOptions);
	await clock.run(10);
	return {clock, executors, scheduler, entry: createEntry()};
}

export function makePart(clock: VirtualClock, part: Partial<Part> = {}): Part {
	return {
		t: 'part',
		job: 'job1',
		takenAtMs: clock.now,
		token: 1,
		stateAt: clock.now,
		claim: 1,
		queue: 'menu',
		service: 'meals',
		priority: 0,
		maxAttempts: 3,
		spec: '',
		demand: {cpu: 14_000, memoryMb: 64, accelerators: 0},
		estimateMs: 100,
		dueInMs: 300,
		admitInMs: 10_000,
		timeLeftMs: 5000,
		remaining: 1,
		tasks: [[0, 1, 1]],
		shifts: 0,
		isMoved: false,
		...part,
	};
}

/** Makes the tasks of a part that an entry hands over for the first time. */
export function makeTasks(count: number): Part['tasks'] {
	return Array.from({length: count}, (_, index) => [index, 1, 1]);
}

/**
A scheduler, an entry that answers its state messages, and the claims that the entry renews: by default that of
`makePart`.
*/
export type AnsweringEntry = readonly [
	scheduler: GroupScheduler,
	entry: Entry,
	claims?: number[],
];

/**
Advances the clock in steps of 50 ms, each with an update of the schedulers and an answer of the entries that
still wait.
*/
export async function runFor(
	clock: VirtualClock,
	ms: number,
	waiting: readonly AnsweringEntry[],
): Promise<void> {
	for (let passed = 0; passed < ms; passed += 50) {
		for (const [scheduler, entry, claims = [1]] of waiting) {
			const {token, at} = scheduler.describeState();
			scheduler.receive(entry, {t: 'keep', token, stateAt: at, claims});
			scheduler.update();
		}

		await clock.run(50);
	}
}

export function listOutcomes({endMessages}: {endMessages: Ends[]}): string[] {
	return endMessages.flatMap(({ends}) => ends.map(({outcome}) => outcome));
}
