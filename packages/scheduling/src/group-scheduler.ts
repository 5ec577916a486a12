/**
The scheduler of a group of executors: one queue, one book of free room, and the only one that
calls these executors while it holds the group.

Parts of jobs come from entries, under claims that these renew by name. A task is started when an executor has room; its end goes to
its entry at once. A job whose claim has ended, or that is dropped, has its runs stopped. What
can't be served in time is returned at once, so that its entry can place it elsewhere or refuse it.
*/
import {
	type Drop,
	type GroupState,
	type Keep,
	type Part,
	type Replace,
	type TaskEnd,
	type Ends,
} from '@gentianshift/protocol';
import {claimRun} from './claim-run.js';
import {type CrashRecords} from './crash-records.js';
import {type ExecutorControl} from './executor-control.js';
import {createEndsOutbox, type EndsOutbox} from './ends-outbox.js';
import {createEntryContacts} from './entry-contacts.js';
import {type ExecutorSession} from './executor-session.js';
import {createExecutorSet, type ExecutorSet} from './executor-set.js';
import {type Executor} from './executor.js';
import {createGroupCrashes, type GroupCrashes} from './group-crashes.js';
import {
	addTasks,
	createGroupJob,
	createPartTasks,
	hasWaiting,
	isLapsed,
	listWaiting,
	type Entry,
	type GroupJob,
	type GroupTask,
} from './group-job.js';
import {recordSuccess} from './executor-trust.js';
import {type HolderMessage} from './holder-contacts.js';
import {createJobCopies, type JobCopies} from './job-copies.js';
import {computeLeaseCap} from './lease-cap.js';
import {moveOverdue} from './overdue-runs.js';
import {placeSuspects} from './place-suspects.js';
import {placeWaiting} from './place-waiting.js';
import {isTooLate, measureLoad} from './measure-load.js';
import {createPlacingRound} from './placing-round.js';
import {countFits, hasRoom, noDemand} from './room.js';
import {type Run, type RunOutcome} from './run.js';
import {type RunTimes} from './run-times.js';
import {createStartLog, type StartLog} from './start-log.js';
import {
	clockSlackMs,
	dropStopMs,
	entryWordLimitMs,
	orphanLimitMs,
	orphanStopMs,
	stateEveryMs,
} from './timing.js';

/** A start that an executor calls outdated is made again with a number this much higher: past what another copy of the job used. */
const attemptStep = 16;
/** Updates come each 50 ms; one that is this late means that this host was paused. */
const pauseMs = 150;
/** After a pause, entries that still wait have answered a state of this host by then. */
const pauseAnswerMs = 2 * stateEveryMs;

export type GroupPorts = {
	/** The data centre whose executors these are. */
	group: string;
	token: number;
	now: () => number;
	/** Like `now`, but counts the time for which this machine was suspended: claims go by it. */
	readBootTime: () => number;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	control: ExecutorControl;
	runTimes: RunTimes;
	/** Shared with the entry on the same host. */
	crashes: CrashRecords;
	/** An executor obeys another holder. */
	onFenced: () => void;
	/** Room or backlog has changed. */
	onChange: () => void;
	/** Takes room for tasks of this size in other groups, as far as it is known; gives for how many. */
	takeElsewhere: (cpu: number, tasks: number) => number;
	/** The list of the group's executors lacks none whose entry may have lapsed for a while. */
	isListComplete: () => boolean;
	/** The list was read as it is now, and is not one that may lack executors that have come since. */
	isListFresh: () => boolean;
	/** Hosts that this one is connected to, or tries to be; their entries speak as `<host>.<incarnation>`. */
	listPeers: () => readonly string[];
	/** This host is being stopped. */
	isLeaving: () => boolean;
	/** The host that is asked to take the group over; undefined: this one keeps it. */
	getSuccessor: () => string | undefined;
	/** Since the store was last heard of, milliseconds. */
	getStoreAgeMs: () => number;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export class GroupScheduler {
	readonly #executors: ExecutorSet;
	readonly #jobs = new Map<string, GroupJob>();
	readonly #entries = createEntryContacts();
	readonly #outbox: EndsOutbox;
	readonly #startLog: StartLog;
	readonly #copies: JobCopies;
	readonly #crashes: GroupCrashes;
	readonly #openedAt: number;
	#updatedAt = 0;
	/** After a pause, no claim is taken for ended before. */
	#judgesFrom = 0;
	#isClosed = false;
	#isPlacing = false;

	constructor(private readonly ports: GroupPorts) {
		this.#openedAt = ports.now();
		this.#updatedAt = ports.readBootTime();
		this.#outbox = createEndsOutbox(ports.token);
		this.#startLog = createStartLog(ports);
		this.#crashes = createGroupCrashes({
			...ports,
			findJob: (id) => this.#jobs.get(id),
			findExecutor: (id) => this.#executors.sessions.get(id),
		});
		this.#copies = createJobCopies({
			now: ports.now,
			dropOthers: (entry, message) => this.#dropOthers(entry, message),
			listCrashes: ports.crashes.listOf,
			mayRun: (job, isMoved) =>
				this.#executors.hasRunOf(job) ||
				!this.#hasHeardEntries() ||
				(isMoved && !this.#isReportedSince(this.#openedAt)),
		});
		this.#executors = createExecutorSet({
			...ports,
			getToken: () => ports.token,
			getLeaseCap: (runs) => this.#getLeaseCap(runs),
			onRunEnd: (run, outcome, session) => {
				this.#endRun(run, outcome, session);
			},
			onCrash: this.#crashes.blame,
			onSilence: this.#crashes.noteSilence,
			onCleared: ports.crashes.clearExecutor,
			onChange: () => {
				this.#place();
				ports.onChange();
			},
		});
	}

	/** Every executor has answered, or has had the time to. */
	get isReady(): boolean {
		const age = this.ports.now() - this.#openedAt;
		return this.#executors.isReported() || age > orphanLimitMs;
	}

	/** The group's executors as the store lists them now. */
	setExecutors(executors: readonly Executor[]): void {
		this.#executors.setListed(executors);
		this.#place();
	}

	/** A message of an entry. One that answers another holder's state is not for this one: its entry hands over anew when it knows this one. */
	receive(entry: Entry, message: HolderMessage): void {
		this.#entries.note(entry, this.ports.now());
		switch (message.t) {
			case 'part': {
				if (message.token === this.ports.token) {
					this.receivePart(entry, message);
				}

				break;
			}

			case 'replace': {
				this.replaceCopies(entry, message);
				break;
			}

			case 'drop': {
				this.dropJob(entry, message);
				break;
			}

			case 'keep': {
				if (message.token === this.ports.token) {
					this.keepClaims(entry, message);
				}

				break;
			}
		}
	}

	receivePart(entry: Entry, part: Part): void {
		const now = this.ports.now();
		this.#crashes.learnPart(entry, part);
		if (this.ports.crashes.findCondemned(part.job) !== undefined) {
			return;
		}

		if (this.#copies.isReplaced(part.job, entry)) {
			this.#tellReplaced(entry, part.job, part.takenAtMs);
			return;
		}

		const former = this.#jobs.get(part.job);
		if (former && this.#isOutdated(former, entry, part)) {
			return;
		}

		const job = this.#findJob(entry, part) ?? createGroupJob(part, entry, now);
		renewClaim(job, part.stateAt);
		if (isLapsed(job, this.ports.readBootTime())) {
			this.ports.log('part came too late', {
				job: part.job,
				entry: entry.key,
				claim: part.claim,
				ageMs: Math.round(this.ports.readBootTime() - part.stateAt),
			});
		}

		if (part.isMoved) {
			job.movedAt ??= now;
		}

		this.#jobs.set(job.id, job);
		this.#outbox.tellAgain(job, part);
		const added = addTasks(job, part);
		for (const task of added) {
			this.#claim(job, task);
		}

		if (!job.isStarted && !part.isMoved && this.#hasNoRoomInTime(job, part)) {
			this.#giveBack(job, 'full');
		}

		this.#place();
	}

	/** Has an entry's copy of a job take the place of all others; the entry is answered when nothing of them runs. */
	replaceCopies(entry: Entry, message: Replace): void {
		const [first = Infinity, last = -Infinity] = message.formerTokens ?? [];
		const {token, log} = this.ports;
		if (last > token) {
			log('asked for a copy that a later holder of the group has', {
				job: message.job,
				entry: entry.key,
				token,
				laterToken: last,
			});
			return;
		}

		this.#copies.replace(entry, message, first < token);
	}

	/** The entry wants nothing more of what it took, or handed over here, until then. */
	dropJob(entry: Entry, {job: id, takenAtMs, claim}: Omit<Drop, 't'>): void {
		if (claim === undefined) {
			this.#copies.release(id, entry, takenAtMs);
		}

		const job = this.#jobs.get(id);
		const isMeant =
			job?.entry.key === entry.key &&
			job.takenAtMs <= takenAtMs &&
			job.claim <= (claim ?? Infinity);
		if (isMeant) {
			this.#drop(job, this.ports.now() + dropStopMs);
			this.#place();
		}
	}

	/** An entry still waits for what it handed over under these claims, as of the state of this scheduler that it has read. */
	keepClaims(
		entry: Entry,
		{stateAt, claims}: Pick<Keep, 'stateAt' | 'claims'>,
	): void {
		this.#entries.markAnswered(entry);
		const unknown = new Set(claims);
		const wanted = new Set(claims);
		for (const job of this.#jobs.values()) {
			if (job.entry.key === entry.key && wanted.has(job.claim)) {
				renewClaim(job, stateAt);
				unknown.delete(job.claim);
			}
		}

		if (unknown.size > 0) {
			const {token, group, log} = this.ports;
			log('an entry waits for claims that have ended', {
				entry: entry.key,
				claims: [...unknown],
				group,
				token,
			});
			entry.send({t: 'claims-ended', token, claims: [...unknown]});
		}
	}

	/** What time alone brings about; to be called each 50 ms or so. */
	update(): void {
		const now = this.ports.now();
		this.#notePause();
		if (now >= this.#judgesFrom) {
			this.#dropLapsed(now);
			moveOverdue(this.#jobs.values(), this.#executors.sessions, {
				now,
				log: this.ports.log,
			});
		}

		this.#outbox.forgetOld(now);
		this.#copies.forgetOld();
		this.ports.crashes.forgetOld(now);
		this.#executors.closeUnlisted(now);
		this.#place();
	}

	/** Another holder takes over: nothing more is sent, what runs goes on under its lease. */
	close(): void {
		this.#isClosed = true;
		this.#executors.closeAll();
	}

	describeState(): GroupState {
		const open = this.#executors.listOpen();
		return {
			t: 'group-state',
			group: this.ports.group,
			token: this.ports.token,
			at: this.ports.readBootTime(),
			isLeaving: this.ports.isLeaving(),
			successor: this.ports.getSuccessor(),
			isReleased: this.#isClosed,
			storeAgeMs: this.ports.getStoreAgeMs(),
			free: open.map((session) =>
				hasRoom(session.free, noDemand) && !this.#crashes.holdsSuspect(session)
					? session.free.cpu
					: 0,
			),
			capacity: open.reduce((sum, {capacity}) => sum + capacity.cpu, 0),
			...measureLoad(this.#jobs.values(), this.ports.now()),
			crashes: this.ports.crashes.listNews(this.ports.now()),
		};
	}

	/** Executors by state, for metrics. */
	countExecutors(): {open: number; all: number} {
		const {sessions, listOpen} = this.#executors;
		return {open: listOpen().length, all: sessions.size};
	}

	/** The part was held up on its way, or is of a claim that has ended: it takes no place of what is here. */
	#isOutdated(job: GroupJob, entry: Entry, part: Part): boolean {
		if (!isOwnCopy(job, entry, part.takenAtMs)) {
			const at = {renewedAt: part.stateAt};
			return !job.isDropped && isLapsed(at, this.ports.readBootTime());
		}

		if (job.claim === part.claim && job.isDropped) {
			this.#giveBackEnded(job, part);
			return true;
		}

		return job.claim > part.claim;
	}

	/** A claim that has ended is not used again: its entry places the tasks of which nothing runs under another one. */
	#giveBackEnded(job: GroupJob, part: Part): void {
		const tasks = [...createPartTasks(part)].filter(
			({index}) => !this.#executors.findRun({job: job.id, index}),
		);
		this.#outbox.giveBack(job, tasks, 'elsewhere', this.ports.now());
	}

	/** A job that the same entry handed over before, or one whose caller has come again elsewhere. */
	#findJob(entry: Entry, part: Part): GroupJob | undefined {
		const job = this.#jobs.get(part.job);
		if (job && !isOwnCopy(job, entry, part.takenAtMs)) {
			this.#dropOthers(entry, part);
			return undefined;
		}

		if (job && job.claim !== part.claim) {
			this.#dropFormerClaim(job, part.claim);
			return undefined;
		}

		return job?.isDropped ? undefined : job;
	}

	/** The entry had taken the job's tasks away and hands them over again. */
	#dropFormerClaim(job: GroupJob, claim: number): void {
		if (!job.isDropped) {
			this.ports.log('a later claim of its entry ends an earlier one', {
				job: job.id,
				entry: job.entry.key,
				claim,
				formerClaim: job.claim,
			});
			this.#drop(job, this.ports.now() + orphanStopMs);
		}
	}

	/** The job's caller came again at another host: the runs of the first copy are stopped. True: it came from an earlier holder. */
	#dropOthers(
		entry: Entry,
		{job: id, takenAtMs}: Pick<Part, 'job' | 'takenAtMs'>,
	): boolean {
		const job = this.#jobs.get(id);
		if (!job || job.isDropped || isOwnCopy(job, entry, takenAtMs)) {
			return job?.movedAt !== undefined;
		}

		this.ports.log('a copy of the job at another entry replaces this one', {
			job: id,
			entry: entry.key,
			formerEntry: job.entry.key,
			group: this.ports.group,
			token: this.ports.token,
		});
		this.#tellReplaced(job.entry, id, job.takenAtMs);
		this.#drop(job, this.ports.now() + dropStopMs);
		return job.movedAt !== undefined;
	}

	/** An entry whose copy no longer counts has nothing to wait for. */
	#tellReplaced(entry: Entry, job: string, takenAtMs: number): void {
		entry.send({t: 'replaced', job, takenAtMs, isRefused: true});
	}

	/**
	Whether a job that would have to wait would end too late. Entries judge by what this scheduler
	told them some time ago; at a flood each of them would fill the same gap, and all would be late.
	*/
	#hasNoRoomInTime(job: GroupJob, {admitInMs, tasks}: Part): boolean {
		const state = this.describeState();
		const fits = countFits(state.free, job.demand.cpu);
		const limits = {
			limitMs: admitInMs,
			now: this.ports.now(),
			capacity: state.capacity,
		};
		return tasks.length > fits && isTooLate(job, this.#jobs.values(), limits);
	}

	/** A task that runs already under an earlier holder, or has ended there, isn't started again. */
	#claim(job: GroupJob, task: GroupTask): void {
		if (this.#outbox.isTold(job, task)) {
			task.state = 'over';
			this.#forgetIfOver(job);
			return;
		}

		this.#claimRun(job, task);
	}

	/** Takes over the task's run, or its end, under an earlier holder of the group. */
	#claimRun(job: GroupJob, task: GroupTask): void {
		const claim = claimRun(this.#executors.sessions.values(), job, task);
		if (claim?.type === 'ended') {
			this.#endTask(job, task, {outcome: 'done', attempt: claim.attempt});
		} else if (claim) {
			const {run, executor} = claim;
			task.state = 'started';
			task.executor = executor;
			task.startedAt = run.startedAt;
			task.nextAttempt = Math.max(task.nextAttempt, run.attempt + 1);
			job.isStarted = true;
			this.ports.log('run of an earlier holder is claimed', {
				job: job.id,
				entry: job.entry.key,
				group: this.ports.group,
				token: this.ports.token,
				task: task.index,
				attempt: run.attempt,
				executor,
			});
		}
	}

	/** A run may go on no longer than its claim allows. */
	#getLeaseCap(runs: Iterable<Run>): number {
		const now = this.ports.now();
		const bootTime = this.ports.readBootTime();
		return computeLeaseCap(runs, (id) => {
			const job = this.#jobs.get(id);
			return job === undefined
				? Infinity
				: now + job.renewedAt + orphanLimitMs - bootTime;
		});
	}

	/**
	A job whose tasks may run under an earlier holder waits until every executor has said what
	runs there, or until that holder has given the runs up: it no longer hears from the entry,
	which now tells this one that it waits. Right after an outage of the store, or with a list of before
	it, an executor may be missing; then only the time counts.
	*/
	#isSettled({movedAt}: GroupJob): boolean {
		return (
			movedAt === undefined ||
			(this.#isReportedSince(movedAt) && this.#hasHeardEntries())
		);
	}

	/** Entries have told this holder which copies they replace, or have had the time to. */
	#hasHeardEntries(): boolean {
		const {now, listPeers} = this.ports;
		return (
			now() - this.#openedAt > entryWordLimitMs ||
			listPeers().every((host) => this.#entries.hasAnswered(host))
		);
	}

	/** What an earlier holder started is known, or over as of that moment. */
	#isReportedSince(at: number): boolean {
		return (
			this.ports.now() - at > orphanLimitMs + clockSlackMs ||
			(this.ports.isListComplete() &&
				this.ports.isListFresh() &&
				this.#executors.isReported())
		);
	}

	#place(): void {
		if (this.#isClosed || this.#isPlacing) {
			return;
		}

		this.#isPlacing = true;
		const now = this.ports.now();
		const bootTime = this.ports.readBootTime();
		this.#giveUpCondemned(now);
		const wanted = [...this.#jobs.values()].filter(
			(job) => !job.isDropped && hasWaiting(job) && !isLapsed(job, bootTime),
		);
		for (const job of wanted) {
			this.#claimReported(job);
		}

		const waiting = wanted.filter((job) => this.#isSettled(job));
		const open = this.#placeSuspects(waiting, now);
		placeWaiting(
			waiting,
			createPlacingRound(open, now, this.ports.takeElsewhere),
			{
				listFree: (job) => this.#listFree(job),
				isSound: ({id}, {index}) =>
					this.ports.crashes.judge({job: id, index}) === 'sound',
				start: (job, task, session) => {
					this.#start(job, task, session);
				},
				giveBack: (job, reason, tasks) => {
					this.#giveBack(job, reason, tasks);
				},
			},
		);
		this.#isPlacing = false;
		this.#copies.answerSettled();
		this.#startLog.write();
		this.#outbox.flush();
	}

	/** Gives the executors that are left for other tasks. */
	#placeSuspects(waiting: readonly GroupJob[], now: number): ExecutorSession[] {
		const open = this.#executors.listOpen();
		const {crashes} = this.ports;
		return crashes.isEmpty
			? open
			: placeSuspects(waiting, open, {
					now,
					judge: crashes.judge,
					holdsSuspect: this.#crashes.holdsSuspect,
					listFree: (job) => this.#listFree(job),
					start: (job, task, session) => {
						this.#start(job, task, session);
					},
				});
	}

	#giveUpCondemned(now: number): void {
		for (const job of this.#crashes.takeCondemned(this.#jobs.values())) {
			this.#drop(job, now + dropStopMs);
		}
	}

	/** Runs that executors have reported since the job was handed over, however many have yet to report. */
	#claimReported(job: GroupJob): void {
		if (job.movedAt === undefined) {
			return;
		}

		for (const task of listWaiting(job)) {
			this.#claimRun(job, task);
		}
	}

	/**
	Waiting tasks of which nothing runs: only these may be started or given back. One that moved
	here may run under the earlier holder until the executors have said otherwise; a run of an earlier
	copy of the job may be on its way to being stopped.
	*/
	#listFree(job: GroupJob): GroupTask[] {
		return this.#isSettled(job)
			? listWaiting(job).filter(
					({index}) => !this.#executors.findRun({job: job.id, index}),
				)
			: [];
	}

	#start(job: GroupJob, task: GroupTask, session: ExecutorSession): void {
		const attempt = task.nextAttempt;
		task.nextAttempt += 1;
		task.state = 'started';
		task.executor = session.id;
		task.startedAt = this.ports.now();
		const {capacityAgeMs} = session;
		this.#startLog.add(job, task, {attempt, capacityAgeMs});
		if (!job.isStarted) {
			job.isStarted = true;
			this.#outbox.tellStarted(job);
		}

		session.start({job: job.id, index: task.index, attempt}, job);
	}

	/** Gives tasks that have not been started back to the entry. */
	#giveBack(
		job: GroupJob,
		reason: NonNullable<Ends['reason']>,
		tasks = this.#listFree(job),
	): void {
		this.#outbox.giveBack(job, tasks, reason, this.ports.now());
		for (const task of tasks) {
			task.state = 'over';
		}

		this.#forgetIfOver(job);
	}

	/** Others are placed once all ends of the same report are entered: the session tells of its change then. */
	#endRun(run: Run, outcome: RunOutcome, session: ExecutorSession): void {
		const job = this.#jobs.get(run.job);
		const task = job?.tasks.get(run.index);
		const isCurrent =
			task?.executor === session.id && task.nextAttempt === run.attempt + 1;
		if (!job || !isCurrent || task.state !== 'started') {
			return;
		}

		const runMs = this.ports.now() - run.startedAt;
		if (outcome === 'done') {
			this.#learn(job, run, runMs, session);
			this.#endTask(job, task, {outcome, attempt: run.attempt, runMs});
		} else {
			this.#requeue(job, task, outcome, session);
		}
	}

	#learn(
		job: GroupJob,
		run: Run,
		runMs: number,
		session: ExecutorSession,
	): void {
		if (run.acceptedAt === undefined) {
			return;
		}

		const {sumMs, count} = job.ended;
		const expectedMs = count > 0 ? sumMs / count : job.estimateMs;
		recordSuccess(session.trust, {runMs, expectedMs, now: this.ports.now()});
		job.ended.sumMs += runMs;
		job.ended.count += 1;
		this.ports.runTimes.learn(job.queue, runMs);
	}

	#requeue(
		job: GroupJob,
		task: GroupTask,
		outcome: Exclude<RunOutcome, 'done'>,
		session: ExecutorSession,
	): void {
		if (job.isDropped) {
			this.#endDropped(job, task);
			return;
		}

		if (outcome === 'failed') {
			task.failures += 1;
			this.ports.log('task failed', {
				job: job.id,
				task: task.index,
				executor: session.id,
				failures: task.failures,
			});
			if (task.failures >= job.maxAttempts) {
				this.#endTask(job, task, {
					outcome: 'failed',
					attempt: task.nextAttempt - 1,
				});
				return;
			}
		}

		if (outcome !== 'refused') {
			task.avoid.add(session.id);
		}

		task.state = 'waiting';
		task.executor = undefined;
		if (outcome === 'unstarted') {
			task.nextAttempt += attemptStep;
		}
	}

	/** A task whose entry no longer wants it, or is silent, has stopped running. */
	#endDropped(job: GroupJob, task: GroupTask): void {
		if (job.isOrphaned) {
			task.state = 'waiting';
			this.#giveBack(job, 'elsewhere');
			return;
		}

		task.state = 'over';
		this.#forgetIfOver(job);
	}

	#endTask(
		job: GroupJob,
		{index, placement}: GroupTask,
		end: Omit<TaskEnd, 'index' | 'placement'>,
	): void {
		job.tasks.get(index)!.state = 'over';
		this.#outbox.add(job, {index, placement, ...end}, this.ports.now());
		this.#forgetIfOver(job);
	}

	/** `stopBy`: when its runs have to be over. */
	#drop(job: GroupJob, stopBy: number): void {
		job.isDropped = true;
		for (const task of job.tasks.values()) {
			if (task.state === 'waiting') {
				task.state = 'over';
			} else if (task.state === 'started') {
				const found = this.#executors.findRun({job: job.id, index: task.index});
				found?.session.stop(found.run, stopBy);
			}
		}

		this.#forgetIfOver(job);
	}

	/**
	The entry of a claim that it no longer renews is gone, or cut off, or has taken the tasks away. Should it wait for them
	after all, it is told of each task when nothing of it runs any more.
	*/
	#dropLapsed(now: number): void {
		for (const key of this.#entries.takeSilent(now)) {
			this.#copies.releaseAll(key);
		}

		const bootTime = this.ports.readBootTime();
		for (const job of this.#jobs.values()) {
			if (!job.isDropped && isLapsed(job, bootTime)) {
				this.ports.log('claim has ended: stopping its job', {
					job: job.id,
					entry: job.entry.key,
					claim: job.claim,
					group: this.ports.group,
					token: this.ports.token,
					ageMs: Math.round(bootTime - job.renewedAt),
				});
				this.#giveBack(job, 'elsewhere');
				job.isOrphaned = true;
				this.#drop(job, now + orphanStopMs);
			}
		}
	}

	/**
	After a pause of this host, what was sent to it meanwhile has yet to be read, and entries have yet to answer a state of after it.
	Until they do, nothing of what they had handed over is started or renewed.
	*/
	#notePause(): void {
		const bootTime = this.ports.readBootTime();
		const pausedMs = bootTime - this.#updatedAt;
		this.#updatedAt = bootTime;
		if (pausedMs > pauseMs) {
			this.#judgesFrom = this.ports.now() + pauseAnswerMs;
			this.ports.log('this host was paused', {
				group: this.ports.group,
				token: this.ports.token,
				pausedMs: Math.round(pausedMs),
				jobs: this.#jobs.size,
			});
		}
	}

	#forgetIfOver(job: GroupJob): void {
		const isOver = [...job.tasks.values()].every(({state}) => state === 'over');
		if (isOver && this.#jobs.get(job.id) === job) {
			this.#jobs.delete(job.id);
		}
	}
}

/** A state that was answered earlier renews nothing. */
function renewClaim(job: GroupJob, stateAt: number): void {
	job.renewedAt = Math.max(job.renewedAt, stateAt);
}

/** An entry that takes a job anew, having dropped it, has another copy: its word to drop the former one may have been lost. */
function isOwnCopy(job: GroupJob, entry: Entry, takenAtMs: number): boolean {
	return job.entry.key === entry.key && job.takenAtMs === takenAtMs;
}
