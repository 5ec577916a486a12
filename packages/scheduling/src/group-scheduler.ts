/**
Schedules tasks on a group of executors, all or some of those of one data centre. It keeps the group's queue and the free capacity
of its executors, and is the only one that calls these executors while it holds the group.

Entries hand over parts of jobs, each under a claim that the entry has to renew. A task is started when an
executor has free capacity, and its end is sent to its entry at once. When a job's claim has ended, or its entry drops
it, its runs are stopped. Tasks that can't be served in time are returned at once, so that their entry can place
them elsewhere or refuse the job.
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
import {type CancelledJobs} from './cancelled-jobs.js';
import {type Background} from './background.js';
import {claimRun} from './claim-run.js';
import {type CrashRecords} from './crash-records.js';
import {type ExecutorControl} from './executor-control.js';
import {createEndsOutbox, type EndsOutbox} from './ends-outbox.js';
import {createEntryContacts} from './entry-contacts.js';
import {type ExecutorSession} from './executor-session.js';
import {createExecutorSet, type ExecutorSet} from './executor-set.js';
import {type Executor} from './executor.js';
import {createFinishedWork} from './finished-work.js';
import {type GroupLayout} from './group-layout.js';
import {createGroupCrashes, type GroupCrashes} from './group-crashes.js';
import {
	addTasks,
	createGroupJob,
	createPartTasks,
	hasWaiting,
	hasClaimEnded,
	listWaiting,
	setTaskState,
	type Entry,
	type GroupJob,
	type GroupTask,
} from './group-job.js';
import {recordSuccess} from './executor-trust.js';
import {type HolderMessage} from './holder-contacts.js';
import {createJobCopies, type JobCopies} from './job-copies.js';
import {isLaterCopy} from './copy-order.js';
import {computeLeaseCap} from './lease-cap.js';
import {moveOverdueTasks} from './overdue-runs.js';
import {placeSuspects} from './place-suspects.js';
import {placeWaiting} from './place-waiting.js';
import {isTooLate, measureLoad} from './measure-load.js';
import {createPlacingRound} from './placing-round.js';
import {countFits, coversDemand, noDemand} from './free-capacity.js';
import {type Run, type RunOutcome} from './run.js';
import {answerWithdrawal} from './answer-withdrawal.js';
import {lateStartLimitMs} from './unanswered-starts.js';
import {hasRequiredLabel} from './task-constraints.js';
import {type RunTimes} from './run-times.js';
import {createStartLog, type StartLog} from './start-log.js';
import {
	clockSlackMs,
	dropStopLimitMs,
	entryAnswerLimitMs,
	orphanLimitMs,
	orphanStopLimitMs,
	stateIntervalMs,
} from './timing.js';

/**
Added to the attempt number after a start that never ran. An executor refuses a start as outdated if it knows a
higher attempt; the next start has to be past the numbers that another copy of the job used.
*/
const unstartedAttemptStep = 16;
/** Updates run each 50 ms; one that is this late means that this host was paused. */
const pauseDetectionMs = 150;
/** Time after a pause within which entries that still wait have answered a new state message of this host. */
const pauseGraceMs = 2 * stateIntervalMs;

/**
Whether tasks may be started on the group's executors. `evacuated`: operators want none there until they take the
data centre back; `unknown`: whether they do has yet to be learned.
*/
export type StartPermission = 'granted' | 'evacuated' | 'unknown';

export type GroupPorts = {
	group: string;
	/** The data centre whose executors the group has. */
	dataCentre: string;
	token: number;
	/** How the data centre's executors are divided into groups now. */
	getLayout: () => GroupLayout;
	/**
	Whether the group's former holder may have runs on executors that belong to other groups by the present layout. What
	the group's own executors report then does not show all of its runs.
	*/
	hasRunsOutside: boolean;
	/** Token of the holder before this one; undefined: none is known. */
	formerToken?: number;
	/** Whether another group's holder may still call the executor, so that this one must not do so yet. */
	isHeldElsewhere: (executor: string) => boolean;
	now: () => number;
	/** Like `now`, but also counts the time for which this machine was suspended; claims are timed by it. */
	readBootTime: () => number;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	background: Background;
	control: ExecutorControl;
	runTimes: RunTimes;
	/** Shared with the entry on the same host. */
	crashes: CrashRecords;
	cancelledJobs: Pick<CancelledJobs, 'findAge'>;
	/** An executor has answered that it obeys another holder of the group. */
	onFenced: () => void;
	/** The free capacity or the backlog has changed. */
	onChange: () => void;
	/**
	Reserves free capacity in other groups, as far as this host knows it, for tasks of `cpu` thousandths of a core;
	returns for how many of `tasks`.
	*/
	takeCapacityElsewhere: (cpu: number, tasks: number) => number;
	getStartPermission: () => StartPermission;
	/**
	Whether the list of the group's executors is complete: none is missing because its registration had expired
	for a while.
	*/
	isListComplete: () => boolean;
	/** Whether the list is the store's current one, not an older one that may lack executors registered since. */
	isListFresh: () => boolean;
	/** Listed executors that a successor's list may lack. */
	listUnconfirmed: () => readonly string[];
	/** Hosts that this one is connected to or tries to reach; the key of an entry there is `<host>.<incarnation>`. */
	listPeers: () => readonly string[];
	/** This host is being stopped. */
	isLeaving: () => boolean;
	/** The host that is asked to take over the group; undefined: this host keeps it. */
	getSuccessor: () => string | undefined;
	/** Time since the store last answered this host, milliseconds. */
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
	readonly #finishedWork = createFinishedWork();
	readonly #openedAt: number;
	#updatedAt = 0;
	/** As of the last update or change. */
	#permission: StartPermission;
	/** After a pause of this host, no claim counts as ended and no run as overdue before this time. */
	#checksClaimsFrom = 0;
	/** When an earlier holder was last known to be at work; this host's steady clock. */
	#earlierHolderSeenAt = -Infinity;
	#isClosed = false;
	#isPlacing = false;

	constructor(private readonly ports: GroupPorts) {
		this.#openedAt = ports.now();
		this.#updatedAt = ports.readBootTime();
		this.#permission = ports.getStartPermission();
		this.#outbox = createEndsOutbox(ports);
		this.#startLog = createStartLog(ports);
		this.#crashes = createGroupCrashes({
			...ports,
			findJob: (id) => this.#jobs.get(id),
			findExecutor: (name) => this.#executors.findIncarnation(name),
		});
		this.#copies = createJobCopies({
			group: ports.group,
			now: ports.now,
			dropOthers: (entry, message) => this.#dropOtherCopies(entry, message),
			listCrashes: ports.crashes.listByJob,
			mayRun: (job, isMoved) =>
				this.#executors.hasRunOfJob(job) ||
				!this.#hasHeardFromEntries() ||
				!this.#hasRunReports() ||
				(isMoved && !this.#hasReportsSince(this.#openedAt)),
		});
		this.#executors = createExecutorSet({
			...ports,
			getToken: () => ports.token,
			getLeaseCap: (runs) => this.#getLeaseCap(runs),
			mayHaveForeignStarts: () =>
				ports.now() - this.#openedAt <= lateStartLimitMs,
			onRunEnd: (run, outcome, session) => {
				this.#endRun(run, outcome, session);
			},
			onCrash: this.#crashes.recordCrash,
			onSilence: this.#crashes.recordSilence,
			onCleared: this.#crashes.clearExecutor,
			onChange: () => {
				this.#runPlacingRound();
				ports.onChange();
			},
		});
	}

	get token(): number {
		return this.ports.token;
	}

	/** Whether every executor has answered, or has had enough time to. */
	get isReady(): boolean {
		const age = this.ports.now() - this.#openedAt;
		return this.#executors.hasAllReported() || age > orphanLimitMs;
	}

	/**
	Sets the group's executors as the store lists them now. `foreign`: those of the data centre's other groups; runs
	that this scheduler has there are left to end.
	*/
	setExecutors(
		executors: readonly Executor[],
		foreign: readonly Executor[] = [],
	): void {
		this.#executors.setListed(executors, foreign);
		this.#runPlacingRound();
	}

	/**
	Handles a message of an entry. A part or a renewal that answers another holder's state message is ignored:
	its entry hands the job over again when it learns of this holder.
	*/
	receive(entry: Entry, message: HolderMessage): void {
		this.#entries.noteMessage(entry, this.ports.now());
		if (this.#refuseCancelled(entry, message)) {
			return;
		}

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
				if (message.withdrawal) {
					this.#answerWithdrawal(entry, message);
				} else {
					this.dropJob(entry, message);
				}

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
		this.#crashes.recordPartCrashes(entry, part);
		if (this.ports.crashes.findCondemnedTask(part.job) !== undefined) {
			return;
		}

		if (this.#copies.isReplaced(part.job, entry)) {
			this.#sendReplaced(entry, part.job, part.takenAtMs);
			return;
		}

		const former = this.#jobs.get(part.job);
		if (former && this.#isOutdatedPart(former, entry, part)) {
			return;
		}

		const job =
			this.#reconcileKnownJob(entry, part) ?? this.#createJob(entry, part);
		renewClaim(job, part.stateAt);
		if (hasClaimEnded(job, this.ports.readBootTime())) {
			this.ports.log('part arrived after its claim had ended', {
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
		this.#outbox.addSentEnds(job, part);
		const added = addTasks(job, part);
		for (const task of added) {
			this.#claimTask(job, task);
		}

		const isJudged = !job.isStarted && !part.isMoved && !this.#isEvacuated();
		if (
			isJudged &&
			(this.#hasNoExecutorFor(job) || this.#hasNoCapacityInTime(job, part))
		) {
			this.#giveBack(job, 'full');
		}

		this.#runPlacingRound();
	}

	/**
	Makes an entry's copy of a job replace all other copies; the entry is answered when nothing of those runs
	any more.
	*/
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

		if (message.isDelayed && this.#hasLaterCopy(entry, message)) {
			log('asked to replace a later copy of the job', {
				job: message.job,
				entry: entry.key,
			});
			this.#sendReplaced(entry, message.job, message.takenAtMs);
			return;
		}

		this.#copies.replace(entry, message, first < token);
	}

	/**
	Drops the entry's copy of the job if it was accepted by `takenAtMs`; with `claim`, only if it is here under
	that claim or an earlier one.
	*/
	dropJob(entry: Entry, {job: id, takenAtMs, claim}: Omit<Drop, 't'>): void {
		if (claim === undefined) {
			this.#copies.endCopy(id, entry, takenAtMs);
		}

		const job = this.#jobs.get(id);
		const isMatch =
			job?.entry.key === entry.key &&
			job.takenAtMs <= takenAtMs &&
			job.claim <= (claim ?? Infinity);
		if (isMatch) {
			this.#dropAndStop(job, this.ports.now() + dropStopLimitMs);
			this.#runPlacingRound();
		}
	}

	/** A caller has cancelled the job: stops its tasks, and tells its entry, which may not know of it. */
	cancelJob(id: string, ageMs: number): void {
		const job = this.#jobs.get(id);
		if (job && !job.isDropped) {
			job.entry.send({t: 'cancel-job', job: id, ageMs});
			this.#dropAndStop(job, this.ports.now() + dropStopLimitMs);
			this.#runPlacingRound();
		}
	}

	/** Renews these claims of an entry, in answer to the state message that this scheduler sent at `stateAt`. */
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
			log('entry renewed claims that have ended', {
				entry: entry.key,
				claims: [...unknown],
				group,
				token,
			});
			entry.send({t: 'claims-ended', group, token, claims: [...unknown]});
		}
	}

	/**
	Handles what depends on time alone: ended claims, overdue runs, expired records. To be called each 50 ms or
	so.
	*/
	update(): void {
		const now = this.ports.now();
		this.#permission = this.ports.getStartPermission();
		this.#checkPause();
		if (now >= this.#checksClaimsFrom) {
			this.#dropEndedClaims(now);
			moveOverdueTasks(this.#jobs.values(), this.#executors.sessions, {
				now,
				log: this.ports.log,
			});
		}

		this.#outbox.forgetOld(now);
		this.#copies.forgetOld();
		this.ports.crashes.forgetOld(now);
		this.#executors.openAwaited();
		this.#executors.closeUnlisted(now);
		this.#runPlacingRound();
	}

	/** To be called when the data centre was evacuated or taken back. What runs there goes on; what waits is handed back. */
	applyStartPermission(): void {
		this.#permission = this.ports.getStartPermission();
		const states = [...this.#jobs.values()].flatMap(({tasks}) =>
			[...tasks.values()].map(({state}) => state),
		);
		this.ports.log('starts on the executors of the group', {
			group: this.ports.group,
			token: this.ports.token,
			permission: this.#permission,
			jobs: this.#jobs.size,
			waiting: states.filter((state) => state === 'waiting').length,
			running: states.filter((state) => state === 'started').length,
		});
		this.#runPlacingRound();
	}

	/**
	To be called with the state of an earlier holder, which has been at work beside this one until now, as when it was cut off. On
	executors that this one does not list its runs go on until their claims end.
	*/
	noteEarlierHolder({token, unconfirmed = []}: GroupState): void {
		const {sessions} = this.#executors;
		if (
			token < this.ports.token &&
			unconfirmed.some((id) => !sessions.has(id))
		) {
			this.#earlierHolderSeenAt = this.ports.now();
			this.ports.log(
				'an earlier holder has used executors that are not listed',
				{
					group: this.ports.group,
					token: this.ports.token,
					earlierToken: token,
					executors: unconfirmed.filter((id) => !sessions.has(id)),
				},
			);
		}
	}

	/** Another holder takes over: this one sends nothing more, and runs go on under their leases. */
	close(): void {
		this.#isClosed = true;
		this.#executors.closeAll();
		this.#crashes.settleCrashes({isClosing: true});
	}

	describeState(): GroupState {
		return {
			t: 'group-state',
			group: this.ports.group,
			dataCentre: this.ports.dataCentre,
			layout: this.ports.getLayout(),
			...this.#describeRelease(),
			token: this.ports.token,
			at: this.ports.readBootTime(),
			isLeaving: this.ports.isLeaving(),
			successor: this.ports.getSuccessor(),
			isReleased: this.#isClosed,
			storeAgeMs: this.ports.getStoreAgeMs(),
			labels: this.#executors.listLabels(),
			...this.#measureCapacity(),
			...measureLoad(this.#jobs.values(), this.ports.now()),
			finished: this.#finishedWork.measure(this.ports.now()),
			crashes: this.ports.crashes.listRecent(this.ports.now()),
		};
	}

	/** Counts executors by state, for metrics. */
	countExecutors(): {open: number; all: number} {
		const {sessions, listOpen} = this.#executors;
		return {open: listOpen().length, all: sessions.size};
	}

	/** Tells an entry that has not heard of it that the job is cancelled; returns whether it is. */
	#refuseCancelled(entry: Entry, message: HolderMessage): boolean {
		if (message.t !== 'part' && message.t !== 'replace') {
			return false;
		}

		const {job} = message;
		const ageMs = this.ports.cancelledJobs.findAge(job);
		if (ageMs === undefined) {
			return false;
		}

		this.ports.log('refusing a cancelled job', {
			job,
			entry: entry.key,
			ageMs: Math.round(ageMs),
		});
		entry.send({t: 'cancel-job', job, ageMs});
		return true;
	}

	#answerWithdrawal(entry: Entry, message: Drop): void {
		answerWithdrawal(entry, message, {
			token: this.ports.token,
			outbox: this.#outbox,
			now: this.ports.now(),
			findJob: (id) => this.#jobs.get(id),
			isReplaced: (id) => this.#copies.isReplaced(id, entry),
			isRunStateKnown: (job) => this.#isRunStateKnown(job),
			hasRun: (task) => this.#executors.findRun(task) !== undefined,
			drop: (job) => {
				this.#dropAndStop(job, this.ports.now() + dropStopLimitMs);
			},
		});
	}

	/**
	Whether the part was delayed on its way, or belongs to a claim that has ended or was replaced, so that it
	must not replace the job known here.
	*/
	#isOutdatedPart(job: GroupJob, entry: Entry, part: Part): boolean {
		if (!isSameCopy(job, entry, part.takenAtMs)) {
			const at = {renewedAt: part.stateAt};
			return !job.isDropped && hasClaimEnded(at, this.ports.readBootTime());
		}

		if (job.claim === part.claim && job.isDropped) {
			this.#giveBackForEndedClaim(job, part);
			return true;
		}

		return job.claim > part.claim;
	}

	/**
	A claim that has ended is not used again. Tasks of which nothing runs are returned, and their entry places
	them under another claim.
	*/
	#giveBackForEndedClaim(job: GroupJob, part: Part): void {
		const tasks = [...createPartTasks(part)].filter(
			({index}) => !this.#executors.findRun({job: job.id, index}),
		);
		this.#outbox.sendReturned(job, tasks, 'elsewhere', this.ports.now());
	}

	/**
	Finds the job that the part continues. Drops the known job if it is another copy of it, taken by an entry to
	which the caller resent it, or under an earlier claim.
	*/
	#reconcileKnownJob(entry: Entry, part: Part): GroupJob | undefined {
		const job = this.#jobs.get(part.job);
		if (job && !isSameCopy(job, entry, part.takenAtMs)) {
			this.#dropOtherCopies(entry, part);
			return undefined;
		}

		if (job && job.claim !== part.claim) {
			this.#dropFormerClaim(job, part.claim);
			return undefined;
		}

		return job?.isDropped ? undefined : job;
	}

	/**
	A part from an earlier holder that comes long after the next one has begun: both were at work meanwhile, as when the earlier one was
	cut off together with the entry and some executors. Registrations of those have lapsed here, so that the reports of all listed
	executors do not show what runs there.
	*/
	#createJob(entry: Entry, part: Part): GroupJob {
		const {firstToken, isMoved} = part;
		const {token, formerToken = token} = this.ports;
		const isFromEarlier = isMoved && (firstToken ?? 0) < token;
		const isFromLongAgo =
			(firstToken ?? token) < formerToken || this.#hasOutlivedEarlierRuns();
		return {
			...createGroupJob(part, entry, this.ports.now()),
			isMovedLate: isFromEarlier && isFromLongAgo,
		};
	}

	/** The entry withdrew the job's tasks and has now handed them over again. */
	#dropFormerClaim(job: GroupJob, claim: number): void {
		if (!job.isDropped) {
			this.ports.log(
				'stopping a job whose entry has handed it over again under a later claim',
				{
					job: job.id,
					entry: job.entry.key,
					claim,
					formerClaim: job.claim,
				},
			);
			this.#dropAndStop(job, this.ports.now() + orphanStopLimitMs);
		}
	}

	/**
	Stops the runs of the known copy of a job whose caller sent it again to another host. Returns whether that
	copy came from an earlier holder of the group.
	*/
	#dropOtherCopies(
		entry: Entry,
		{job: id, takenAtMs}: Pick<Part, 'job' | 'takenAtMs'>,
	): boolean {
		const job = this.#jobs.get(id);
		if (!job || job.isDropped || isSameCopy(job, entry, takenAtMs)) {
			return job?.movedAt !== undefined;
		}

		this.ports.log('a copy of the job at another entry replaces this one', {
			job: id,
			entry: entry.key,
			formerEntry: job.entry.key,
			group: this.ports.group,
			token: this.ports.token,
		});
		this.#sendReplaced(job.entry, id, job.takenAtMs);
		this.#dropAndStop(job, this.ports.now() + dropStopLimitMs);
		return job.movedAt !== undefined;
	}

	/** Whether tasks are here of a copy that another entry accepted later. */
	#hasLaterCopy(
		entry: Entry,
		{job: id, takenAtMs}: Pick<Replace, 'job' | 'takenAtMs'>,
	): boolean {
		const job = this.#jobs.get(id);
		return (
			job !== undefined &&
			!job.isDropped &&
			isLaterCopy(
				{entry: job.entry.key, takenAtMs: job.takenAtMs},
				{entry: entry.key, takenAtMs},
			)
		);
	}

	/** Informs an entry that its copy of the job was replaced, so that it stops waiting. */
	#sendReplaced(entry: Entry, job: string, takenAtMs: number): void {
		const {group} = this.ports;
		entry.send({t: 'replaced', group, job, takenAtMs, isRefused: true});
	}

	/**
	Whether a job that has to wait would end too late. Entries judge by a state message that is some time old;
	when many jobs arrive at once, each entry would use the same free capacity, and all these jobs would be late.
	*/
	#hasNoCapacityInTime(job: GroupJob, {admitInMs, tasks}: Part): boolean {
		const {free, capacity} = this.#measureCapacity();
		const limits = {limitMs: admitInMs, now: this.ports.now(), capacity};
		return (
			tasks.length > countFits(free, job.demand.cpu) &&
			isTooLate(job, this.#jobs.values(), limits)
		);
	}

	#hasNoExecutorFor({constraints}: GroupJob): boolean {
		return (
			constraints !== undefined &&
			!hasRequiredLabel(this.#executors.listLabels(), constraints)
		);
	}

	#isEvacuated(): boolean {
		return this.#permission === 'evacuated';
	}

	/** Executors that may be sent a start now. */
	#listUsable(): ExecutorSession[] {
		return this.#permission === 'granted' ? this.#executors.listOpen() : [];
	}

	/** Free thousandths of a core of each open executor, and the capacity of all of them together. */
	#measureCapacity(): Pick<GroupState, 'free' | 'capacity'> {
		const open = this.#listUsable();
		return {
			free: open.map((session) => {
				const {free} = session;
				return coversDemand(free, noDemand) &&
					!this.#crashes.hasSuspectRun(session)
					? free.cpu
					: 0;
			}),
			capacity: open.reduce((sum, {capacity}) => sum + capacity.cpu, 0),
		};
	}

	/**
	A task that an earlier holder started or ended, or whose end its entry was sent before, is not started
	again.
	*/
	#claimTask(job: GroupJob, task: GroupTask): void {
		if (this.#outbox.hasSentEnd(job, task)) {
			setTaskState(job, task, 'over');
			this.#removeIfOver(job);
			return;
		}

		this.#takeOverRun(job, task);
	}

	/** Takes over a run of the task that an earlier holder of the group started, or the end of that run. */
	#takeOverRun(job: GroupJob, task: GroupTask): void {
		const claim = claimRun(this.#executors.listUnclaimed(), job, task);
		if (claim?.type === 'ended') {
			this.#endTask(job, task, {outcome: 'done', attempt: claim.attempt});
		} else if (claim) {
			const {run, executor} = claim;
			setTaskState(job, task, 'started');
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

	/** Limits the lease of these runs to the time that their claims allow. */
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
	Whether it is known which of the job's tasks run. If they may run under an earlier holder, the job waits
	until every executor has reported its runs, or until that holder has stopped them: their entry no longer
	renews their claim there, but here. Right after an outage of the store, or with a list read before it, an
	executor may be missing from the list; then only the elapsed time counts.
	*/
	#isRunStateKnown({movedAt, isMovedLate}: GroupJob): boolean {
		return (
			movedAt === undefined ||
			(isMovedLate
				? this.#hasRunLimitPassed(movedAt)
				: this.#hasReportsSince(movedAt) && this.#hasHeardFromEntries())
		);
	}

	/** Whether entries have reported which copies they replace, or have had enough time to. */
	#hasHeardFromEntries(): boolean {
		const {now, listPeers} = this.ports;
		return (
			now() - this.#openedAt > entryAnswerLimitMs ||
			listPeers().every((host) => this.#entries.hasAnswered(host))
		);
	}

	/**
	Whether every listed executor has reported its runs to this holder, or runs of an earlier one must be over. An
	entry that gave up a copy may not know that the group has changed hands.
	*/
	#hasRunReports(): boolean {
		const isKnown =
			(this.#executors.hasAllReported() && !this.ports.hasRunsOutside) ||
			this.#hasOutlivedEarlierRuns();
		return isKnown && this.#hasRunLimitPassed(this.#earlierHolderSeenAt);
	}

	/** In the first second of this holder a successor can't see the runs outside the group either. */
	#describeRelease(): Pick<
		GroupState,
		'releasing' | 'hasRunsOutside' | 'unconfirmed'
	> {
		const releasing = this.#executors.listReleasing();
		const used = this.#executors.listUsed(this.ports.listUnconfirmed());
		if (releasing.length > 0) {
			return {releasing, hasRunsOutside: true, unconfirmed: used};
		}

		const mayRunOutside =
			this.ports.hasRunsOutside || this.#executors.hasLeftUnreported();
		return {
			...(used.length > 0 && {unconfirmed: used}),
			...(mayRunOutside &&
				!this.#hasOutlivedEarlierRuns() && {hasRunsOutside: true}),
		};
	}

	/** Whether so much time has passed that no run of an earlier holder goes on. */
	#hasOutlivedEarlierRuns(): boolean {
		return this.#hasRunLimitPassed(this.#openedAt);
	}

	/** Whether runs that an earlier holder started by `at` are over, as no entry has renewed their claims there since. */
	#hasRunLimitPassed(at: number): boolean {
		return (
			this.ports.now() - at > orphanLimitMs + clockSlackMs &&
			!this.#isExposedToLateCalls()
		);
	}

	/**
	Whether runs of an earlier holder may go on for longer than under its leases, or have yet to start: an executor has started again,
	and late calls to its former process may reach the present one, which this holder has not reached.
	*/
	#isExposedToLateCalls(): boolean {
		return (
			this.ports.now() - this.#openedAt <= lateStartLimitMs &&
			this.#executors.hasUnreportedRestart(this.#openedAt - lateStartLimitMs)
		);
	}

	/** Whether all runs that an earlier holder started by `at` are known, or must be over by now. */
	#hasReportsSince(at: number): boolean {
		return (
			this.#hasRunLimitPassed(at) ||
			(!this.ports.hasRunsOutside &&
				this.ports.isListComplete() &&
				this.ports.isListFresh() &&
				this.#executors.hasAllReported())
		);
	}

	#runPlacingRound(): void {
		if (this.#isClosed || this.#isPlacing) {
			return;
		}

		this.#isPlacing = true;
		const now = this.ports.now();
		const bootTime = this.ports.readBootTime();
		this.#giveUpCondemned(now);
		const wanted = [...this.#jobs.values()].filter(
			(job) =>
				!job.isDropped && hasWaiting(job) && !hasClaimEnded(job, bootTime),
		);
		for (const job of wanted) {
			this.#takeOverReported(job);
		}

		if (this.#isEvacuated()) {
			for (const job of wanted) {
				this.#giveBack(job, 'elsewhere');
			}
		}

		const waiting = wanted.filter(
			(job) => hasWaiting(job) && this.#isRunStateKnown(job),
		);
		const open = waiting.length > 0 ? this.#placeSuspects(waiting, now) : [];
		placeWaiting(
			waiting,
			createPlacingRound(open, now, this.ports.takeCapacityElsewhere),
			{
				listStartable: (job) => this.#listStartable(job),
				isSound: ({id}, {index}) =>
					this.ports.crashes.judge({job: id, index}) === 'sound',
				start: (job, task, session) => {
					this.#startTask(job, task, session);
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

	/** Starts suspects; returns the executors that remain for other tasks. */
	#placeSuspects(waiting: readonly GroupJob[], now: number): ExecutorSession[] {
		const open = this.#listUsable();
		const {crashes} = this.ports;
		return crashes.isEmpty
			? open
			: placeSuspects(waiting, open, {
					now,
					judge: crashes.judge,
					hasSuspectRun: this.#crashes.hasSuspectRun,
					getUpSince: ({reportedAt}) => reportedAt,
					listStartable: (job) => this.#listStartable(job),
					start: (job, task, session) => {
						this.#startTask(job, task, session);
					},
				});
	}

	#giveUpCondemned(now: number): void {
		this.#crashes.settleCrashes({isClosing: false});
		for (const job of this.#crashes.takeCondemnedJobs(this.#jobs.values())) {
			this.#dropAndStop(job, now + dropStopLimitMs);
		}
	}

	/**
	Takes over runs that executors have reported since the job was handed over, even while others have yet to
	report.
	*/
	#takeOverReported(job: GroupJob): void {
		if (job.movedAt === undefined) {
			return;
		}

		for (const task of listWaiting(job)) {
			this.#takeOverRun(job, task);
		}
	}

	/**
	Lists waiting tasks of which nothing runs: only these may be started or given back. A task that was handed
	over from an earlier holder may still run there until the executors have reported; a run of an earlier copy
	of the job may not be stopped yet.
	*/
	#listStartable(job: GroupJob): GroupTask[] {
		return this.#isRunStateKnown(job)
			? listWaiting(job).filter(
					({index}) => !this.#executors.findRun({job: job.id, index}),
				)
			: [];
	}

	#startTask(job: GroupJob, task: GroupTask, session: ExecutorSession): void {
		const attempt = task.nextAttempt;
		task.nextAttempt += 1;
		setTaskState(job, task, 'started');
		task.executor = session.id;
		task.startedAt = this.ports.now();
		const {capacityAgeMs} = session;
		this.#startLog.add(job, task, {attempt, capacityAgeMs});
		if (!job.isStarted) {
			job.isStarted = true;
			this.#outbox.sendStarted(job);
		}

		session.start({job: job.id, index: task.index, attempt}, job);
	}

	/** Returns tasks that have not been started to the entry. */
	#giveBack(
		job: GroupJob,
		reason: NonNullable<Ends['reason']>,
		tasks = this.#listStartable(job),
	): void {
		this.#outbox.sendReturned(job, tasks, reason, this.ports.now());
		for (const task of tasks) {
			setTaskState(job, task, 'over');
		}

		this.#removeIfOver(job);
	}

	/** Starts no waiting task itself: the session calls `onChange` once all ends of a report are recorded. */
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
			this.#finishedWork.add(runMs * job.demand.cpu, this.ports.now());
			this.#recordRunTime(job, run, runMs, session);
			this.#endTask(job, task, {outcome, attempt: run.attempt, runMs});
		} else {
			this.#requeue(job, task, outcome, session);
		}
	}

	#recordRunTime(
		job: GroupJob,
		run: Run,
		runMs: number,
		session: ExecutorSession,
	): void {
		if (run.acceptedAt === undefined) {
			return;
		}

		const {sumMs, count} = job.endedRunTimes;
		const expectedMs = count > 0 ? sumMs / count : job.estimateMs;
		recordSuccess(session.trust, {runMs, expectedMs, now: this.ports.now()});
		job.endedRunTimes.sumMs += runMs;
		job.endedRunTimes.count += 1;
		this.ports.runTimes.addRunTime(job.queue, runMs);
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

		setTaskState(job, task, 'waiting');
		task.executor = undefined;
		if (outcome === 'unstarted') {
			task.nextAttempt += unstartedAttemptStep;
		}
	}

	/** The run of a dropped job's task has ended. If the entry was only silent, the task is returned to it. */
	#endDropped(job: GroupJob, task: GroupTask): void {
		if (job.isOrphaned) {
			setTaskState(job, task, 'waiting');
			this.#giveBack(job, 'elsewhere');
			return;
		}

		setTaskState(job, task, 'over');
		this.#removeIfOver(job);
	}

	#endTask(
		job: GroupJob,
		{index, placement}: GroupTask,
		end: Omit<TaskEnd, 'index' | 'placement'>,
	): void {
		setTaskState(job, job.tasks.get(index)!, 'over');
		this.#outbox.add(job, {index, placement, ...end}, this.ports.now());
		this.#removeIfOver(job);
	}

	/** Drops the job and stops its runs; `stopBy`: when they have to be over. */
	#dropAndStop(job: GroupJob, stopBy: number): void {
		job.isDropped = true;
		for (const task of job.tasks.values()) {
			if (task.state === 'waiting') {
				setTaskState(job, task, 'over');
			} else if (task.state === 'started') {
				const found = this.#executors.findRun({job: job.id, index: task.index});
				found?.session.stop(found.run, stopBy);
			}
		}

		this.#removeIfOver(job);
	}

	/**
	Drops jobs whose claim has ended: their entry has died, is unreachable, or has withdrawn the tasks. In case
	the entry still waits for them, each task is returned to it once nothing of that task runs any more.
	*/
	#dropEndedClaims(now: number): void {
		for (const key of this.#entries.takeSilent(now)) {
			this.#copies.endCopiesOf(key);
		}

		const bootTime = this.ports.readBootTime();
		for (const job of this.#jobs.values()) {
			if (!job.isDropped && hasClaimEnded(job, bootTime)) {
				this.ports.log('claim was not renewed in time: stopping its job', {
					job: job.id,
					entry: job.entry.key,
					claim: job.claim,
					group: this.ports.group,
					token: this.ports.token,
					ageMs: Math.round(bootTime - job.renewedAt),
				});
				this.#giveBack(job, 'elsewhere');
				job.isOrphaned = true;
				this.#dropAndStop(job, now + orphanStopLimitMs);
			}
		}
	}

	/**
	Detects a pause of this host. Messages that arrived during it have yet to be read, and entries have yet to
	answer a state message sent after the pause. Until they do, none of the tasks that they handed over before
	is started, and no lease of their runs is renewed.
	*/
	#checkPause(): void {
		const bootTime = this.ports.readBootTime();
		const pausedMs = bootTime - this.#updatedAt;
		this.#updatedAt = bootTime;
		if (pausedMs > pauseDetectionMs) {
			this.#checksClaimsFrom = this.ports.now() + pauseGraceMs;
			this.ports.log('this host was paused', {
				group: this.ports.group,
				token: this.ports.token,
				pausedMs: Math.round(pausedMs),
				jobs: this.#jobs.size,
			});
		}
	}

	#removeIfOver(job: GroupJob): void {
		const {waiting, started} = job.taskCounts;
		if (waiting + started === 0 && this.#jobs.get(job.id) === job) {
			this.#jobs.delete(job.id);
		}
	}
}

/** Renews the job's claim as of `stateAt`; an answer to an earlier state message than the last one changes nothing. */
function renewClaim(job: GroupJob, stateAt: number): void {
	job.renewedAt = Math.max(job.renewedAt, stateAt);
}

/**
Whether this is the copy of the job that the entry took at that time. An entry that dropped a job and takes it
again has another copy; its message to drop the former one may have been lost.
*/
function isSameCopy(job: GroupJob, entry: Entry, takenAtMs: number): boolean {
	return job.entry.key === entry.key && job.takenAtMs === takenAtMs;
}
