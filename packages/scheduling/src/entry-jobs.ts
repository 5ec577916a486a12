/**
The jobs that callers submitted to this host, their entry. The entry places each job's tasks in groups, tracks them until all
are done, and answers the caller as soon as they are, or as soon as it is clear that they can't be in time.

The entry holds the complete state of its jobs. When a scheduler dies or loses its group, the entry sends the tasks to the
group's next holder.
*/
import {
	type ClaimsEnded,
	type Ends,
	type RecallCopy,
	type CopyRecalled,
	type Replaced,
	type TaskEnd,
} from '@gentianshift/protocol';
import {type CancelledJobs} from './cancelled-jobs.js';
import {type CopyPlace} from './copy-check.js';
import {type CrashRecords} from './crash-records.js';
import {
	createCopyRecall,
	type CopyRecall,
	type EntryPeers,
} from './copy-recall.js';
import {
	createCopyReplacement,
	type CopyObstacle,
	type CopyReplacement,
} from './copy-replacement.js';
import {
	createEntryJob,
	getLatestEnd,
	listTasksAt,
	type EntryJob,
	type EntryTask,
	type JobAnswer,
	type JobRequest,
} from './entry-job.js';
import {type GroupDirectory, type KnownGroup} from './group-directory.js';
import {
	createHolderContacts,
	type HolderContacts,
	type HolderMessage,
} from './holder-contacts.js';
import {listPossibleHolders} from './possible-holders.js';
import {createLostHolders, type LostHolders} from './lost-holders.js';
import {findLostTasks} from './lost-tasks.js';
import {type RunTimes} from './run-times.js';
import {hasRequiredLabel} from './task-constraints.js';
import {clockSlackMs, orphanLimitMs} from './timing.js';
import {makePart} from './make-part.js';
import {placeJob, type OpenGroup} from './place-job.js';
import {type PauseWatch} from './pause-watch.js';
import {parseProcessId} from './process-id.js';
import {isLate} from './rank-jobs.js';
import {
	drawRetryAfterMs,
	estimateRetryMs,
	maxRetryAfterMs,
	minRetryAfterMs,
} from './retry-after.js';
import {
	createWithdrawals,
	hasBegun,
	isWaitingInVain,
	listPlacedGroups,
	type WithdrawalOutcome,
	type Withdrawals,
} from './withdrawals.js';

/** Attempts that a lost scheduler may have started without the entry learning of them; a new start is numbered beyond them. */
const maxUnreportedAttempts = 16;
/**
After this many groups have returned a task as `full`, its job is refused: what is known of the other groups' free
capacity is no newer than what was known of these.
*/
const maxFullGroups = 2;
/**
After this long without a reachable scheduler, jobs are refused at once instead of waiting for one. Longer than a takeover
without the store takes (`holderSilenceMs`, `storelessDelayMs`), and than a start of all hosts.
*/
const noSchedulerTimeoutMs = 2000;

export type EntryPorts = {
	/** This process: `<host key>.<incarnation>`. */
	self: string;
	peers: EntryPeers;
	/** This host's data centre. */
	home: string;
	now: () => number;
	/** Returns a number from 0 up to 1. */
	random: () => number;
	/** Milliseconds since 1970. */
	readWallClock: () => number;
	groups: GroupDirectory;
	runTimes: RunTimes;
	/** Shared with the scheduler on the same host. */
	crashes: CrashRecords;
	cancelledJobs: Pick<CancelledJobs, 'findAge'>;
	pauses: Pick<PauseWatch, 'isCatchingUp' | 'measureUnreadMs'>;
	/** Sends a message to a group's holder; false: there is no connection to it. */
	send: (holder: string, message: HolderMessage) => boolean;
	log: (message: string, fields: Record<string, unknown>) => void;
	/** Called once for each job that ends, when its callers are answered. */
	onAnswer: (job: EntryJob, answer: JobAnswer, tookMs: number) => void;
	/** Called once for each withdrawal of a job's tasks. */
	onWithdrawal: (outcome: WithdrawalOutcome) => void;
};

export class EntryJobs {
	readonly #ports: EntryPorts;
	readonly #jobs = new Map<string, EntryJob>();
	readonly #holderContacts: HolderContacts;
	readonly #lostHolders: LostHolders;
	readonly #recall: CopyRecall;
	readonly #replacement: CopyReplacement;
	readonly #withdrawals: Withdrawals;
	/**
	Jobs with unplaced tasks that wait for a reachable scheduler, until no other copy of the job runs, or until this host has caught up
	after a pause.
	*/
	readonly #waitingJobs = new Set<EntryJob>();
	/** Groups that have a new holder, or a new connection to it, since a pause that this host is catching up with. */
	readonly #groupsToSend = new Set<string>();
	#lastClaim = 0;
	#taskCount = 0;
	/** When a scheduler was last reachable; initially the start of this host. */
	#schedulerReachableAt: number;

	constructor(ports: EntryPorts) {
		this.#ports = ports;
		this.#holderContacts = createHolderContacts(ports.send);
		this.#lostHolders = createLostHolders(ports.groups, ports.now());
		this.#recall = this.#createRecall();
		this.#replacement = createCopyReplacement({
			groups: ports.groups,
			recall: this.#recall,
			lostHolders: this.#lostHolders,
			send: (holder, message) => {
				this.#holderContacts.sendReplace(holder, message);
			},
			log: ports.log,
		});
		this.#withdrawals = createWithdrawals({
			...ports,
			send: this.#holderContacts.sendWithdrawal,
			onOutcome: ports.onWithdrawal,
		});
		this.#schedulerReachableAt = ports.now();
	}

	get size(): number {
		return this.#jobs.size;
	}

	/** Tasks of all jobs that have no answer yet, done or not. */
	get taskCount(): number {
		return this.#taskCount;
	}

	/** Whether the group has tasks of this entry's jobs. */
	hasTasksIn(group: string): boolean {
		for (const job of this.#jobs.values()) {
			if (listTasksAt(job, group).length > 0) {
				return true;
			}
		}

		return false;
	}

	/** Number of the queue's jobs of which no task has been started. */
	countPending(queue: string): number {
		let count = 0;
		for (const {request, isStarted} of this.#jobs.values()) {
			count += Number(request.queue.name === queue && !isStarted);
		}

		return count;
	}

	/**
	Accepts a job; `onAnswer` is called once. If a job with this id is already here, the caller waits for that one.

	Returns a function to call when the caller has disconnected. The job is cancelled once no other caller waits for it.
	*/
	submit(
		request: JobRequest,
		onAnswer: (answer: JobAnswer) => void,
	): () => void {
		const known = this.#jobs.get(request.id);
		if (known) {
			known.waiters.add(onAnswer);
			return () => {
				this.#removeWaiter(known, onAnswer);
			};
		}

		const {queue, declaredMs} = request;
		const estimateMs = this.#ports.runTimes.estimate(queue.name, declaredMs);
		const unreadMs = this.#ports.pauses.measureUnreadMs(request.requestsBefore);
		const job = createEntryJob(request, estimateMs, {
			now: this.#ports.now(),
			takenAtMs: this.#chooseTakenAt(request.id, unreadMs),
			unreadMs,
		});
		job.waiters.add(onAnswer);
		this.#jobs.set(request.id, job);
		this.#taskCount += job.tasks.length;
		if (this.#ports.cancelledJobs.findAge(request.id) !== undefined) {
			// The request was sent before its caller cancelled the job, or repeated by the network.
			this.#answer(job, {type: 'cancelled'});
		} else if (!this.#giveUpIfCondemned(job)) {
			this.#placeTasks(job, job.tasks);
		}

		return () => {
			this.#removeWaiter(job, onAnswer);
		};
	}

	/** Cancels a job at the caller's request: no more of its tasks are started. False: there is no such job here. */
	cancel(id: string): boolean {
		const job = this.#jobs.get(id);
		if (job) {
			this.#answer(job, {type: 'cancelled'});
		}

		return job !== undefined;
	}

	/** Answers all jobs, of which no more tasks are started. */
	giveUpAll(reason: string): void {
		for (const job of this.#jobs.values()) {
			this.#answerGivenUp(job, reason);
		}
	}

	/** Handles a message from a group's holder. */
	receive(holder: string, message: Ends | Replaced | ClaimsEnded): void {
		switch (message.t) {
			case 'ends': {
				this.receiveEnds(holder, message);
				break;
			}

			case 'replaced': {
				this.receiveReplaced(holder, message);
				break;
			}

			case 'claims-ended': {
				this.receiveClaimsEnded(holder, message);
				break;
			}
		}
	}

	/** The holder has no tasks under these claims, although this entry still wants them: sends the tasks again. */
	receiveClaimsEnded(holder: string, {token, claims}: ClaimsEnded): void {
		const group = this.#findGroupOf(holder, token);
		if (group === undefined || this.#ports.pauses.isCatchingUp()) {
			return;
		}

		for (const job of this.#jobs.values()) {
			// Tasks that are being withdrawn must not be sent again: the holder could start them after it has returned them.
			const isWanted = !this.#withdrawals.isPending(job);
			if (isWanted && claims.includes(job.claims.get(group) ?? -1)) {
				this.#sendUnderNewClaim(job, group);
			}
		}
	}

	/** A holder confirms that it runs no other copy of a job, or refuses because another entry has a later copy. */
	receiveReplaced(holder: string, message: Replaced): void {
		const {job: id, takenAtMs, isRefused, crashes = []} = message;
		this.#ports.crashes.addReported(crashes, this.#ports.now());
		const job = this.#jobs.get(id);
		if (job?.takenAtMs !== takenAtMs) {
			return;
		}

		if (isRefused) {
			this.#giveUpReplaced(job);
			return;
		}

		this.#replacement.recordConfirmation(job, holder, {
			message,
			now: this.#ports.now(),
		});
		this.#placeIfWaiting(job);
	}

	/** Another entry asks this one to give up its copy of a job; `from` is the host that sent or forwarded the message. */
	receiveRecall(from: string, message: RecallCopy): void {
		this.#recall.receiveRecall(from, message);
	}

	/** An entry's answer to `recall-copy`: it has given up its copy of a job, has none, or has a later one. */
	receiveRecalled(message: CopyRecalled): void {
		this.#ports.crashes.addReported(message.crashes ?? [], this.#ports.now());
		const job = this.#jobs.get(message.job);
		const places = this.#recall.receiveRecalled(message, job);
		if (!job || !places) {
			return;
		}

		if (message.isRefused) {
			this.#giveUpReplaced(job);
			return;
		}

		this.#replacement.addPlaces(job, places, this.#ports.now());
		this.#placeIfWaiting(job);
	}

	receiveEnds(holder: string, message: Ends): void {
		const job = this.#jobs.get(message.job);
		// The sender has just released its group. The tasks may still run, and are claimed by the next holder.
		if (!job || message.reason === 'released') {
			return;
		}

		this.#ports.crashes.addReported(message.crashes ?? [], this.#ports.now());
		if (this.#giveUpIfCondemned(job)) {
			return;
		}

		if (message.isStarted) {
			job.isStarted = true;
			job.firstStartReportedAt ??= this.#ports.now();
		}

		const from = this.#findGroupOf(holder, message.token);
		const returned: EntryTask[] = [];
		for (const end of message.ends) {
			this.#receiveEnd(job, end, {holder, message, returned});
		}

		if (!this.#jobs.has(message.job)) {
			return;
		}

		if (job.tasks.every(({isDone}) => isDone)) {
			this.#answer(job, {type: 'completed'});
		} else if (this.#withdrawals.isPending(job)) {
			this.#reconcileWithdrawal(job);
		} else if (returned.length > 0) {
			this.#placeReturned(job, returned, {reason: message.reason, from});
		}
	}

	/** The group has a new holder, or the connection to its holder is back: sends the holder all that this entry has in the group. */
	sendGroupTasks(group: string): void {
		if (this.#ports.pauses.isCatchingUp()) {
			this.#groupsToSend.add(group);
			return;
		}

		const now = this.#ports.now();
		for (const job of this.#jobs.values()) {
			this.#replacement.askAgain(job, group, now);
			const tasks = listTasksAt(job, group);
			if (tasks.length === 0) {
				continue;
			}

			job.isResent = true;
			const cause = this.#withdrawals.end(job, 'interrupted');
			if (cause) {
				// The former holder's answer may be lost, and the job is too late to be of use.
				this.#answerGivenUp(job, cause.reason, cause.retryAfterMs);
			} else {
				this.#sendPart(job, group, tasks, true);
			}
		}

		const known = this.#ports.groups.findGroup(group);
		if (known) {
			this.#holderContacts.sendKeep(known, this.#listClaims(group));
		}
	}

	/**
	To be called when this host has caught up after a pause: the jobs of callers that left meanwhile are gone, and all others are
	placed or sent to their groups' new holders.
	*/
	finishCatchingUp(): void {
		const groups = [...this.#groupsToSend];
		this.#groupsToSend.clear();
		for (const group of groups) {
			this.sendGroupTasks(group);
		}

		this.placeWaitingJobs();
	}

	/** To be called when a holder's state has arrived: places waiting jobs and renews this entry's claims in the group. */
	receiveState(group: string): void {
		this.placeWaitingJobs();
		this.renewClaims(group);
	}

	/** The connection to a host's process broke; `lastAliveAt`: when that process was last known to be alive. */
	markLinkDown(host: string, incarnation: string, lastAliveAt: number): void {
		this.#lostHolders.markDisconnected(host, incarnation, lastAliveAt);
	}

	/** A connection to a host's process was established. */
	markLinkUp(host: string, incarnation: string): void {
		const isNew = !this.#lostHolders.hasMet(host);
		this.#lostHolders.markConnected(host, incarnation);
		this.#recall.sendPending(host);
		for (const job of this.#jobs.values()) {
			this.#recall.askAgain(job, host, {isNew});
		}
	}

	/** The connection to a holder is back: sends again what may have been lost with the last one. */
	sendAfterReconnect(holder: string): void {
		this.#holderContacts.sendDropsAgain(holder, this.#ports.now());
		for (const {state, holder: current} of this.#ports.groups.list()) {
			if (current === holder) {
				this.sendGroupTasks(state.group);
			}
		}
	}

	/** Places the jobs that wait for a reachable scheduler; to be called when a holder's state has arrived. */
	placeWaitingJobs(): void {
		const waiting = [...this.#waitingJobs];
		this.#waitingJobs.clear();
		for (const job of waiting) {
			this.#placeUnplaced(job);
		}
	}

	/** Renews this entry's claims in the group, once for each state that its holder sends. */
	renewClaims(group: string): void {
		const known = this.#ports.groups.findGroup(group);
		if (
			!known ||
			!this.#holderContacts.hasUnansweredState(known) ||
			this.#ports.pauses.isCatchingUp()
		) {
			return;
		}

		const claims = this.#listClaims(group);
		if (claims.length > 0 || this.#hasReplacingJob()) {
			this.#holderContacts.sendKeep(known, claims);
		}
	}

	/** Handles time-outs, lost tasks and waiting jobs; to be called about every 50 ms. */
	update(): void {
		if (this.#ports.pauses.isCatchingUp()) {
			return;
		}

		const now = this.#ports.now();
		if (this.#ports.groups.listOpen(now).length > 0) {
			this.#schedulerReachableAt = now;
		}

		this.placeWaitingJobs();
		const ownHost = parseProcessId(this.#ports.self).host;
		for (const {state, holder} of this.#ports.groups.list()) {
			// The claims at this host's own groups are renewed by its roles, before they refresh the groups' states.
			if (holder !== ownHost) {
				this.renewClaims(state.group);
			}
		}

		this.#holderContacts.forgetOld(now);
		this.#ports.crashes.forgetOld(now);
		for (const job of this.#jobs.values()) {
			if (this.#giveUpIfCondemned(job)) {
				continue;
			}

			if (now >= job.callerDeadlineAt) {
				this.#answerGivenUp(job, 'no answer in the time that the caller waits');
			} else if (this.#withdrawals.isPending(job)) {
				this.#endOverdueWithdrawal(job);
			} else if (isWaitingInVain(job, now)) {
				this.#giveUpForRoom(job, 'its tasks can no longer end in time');
			} else {
				this.#moveLostTasks(job, now);
			}
		}
	}

	/** An answer to a withdrawal, or another end of the job's tasks, has arrived. */
	#reconcileWithdrawal(job: EntryJob): void {
		if (hasBegun(job)) {
			this.#withdrawals.end(job, 'started');
			// The runs are not wasted: the answer is delivered even if it is late.
			job.usefulUntil = job.callerDeadlineAt;
			this.#placeUnplaced(job);
		} else if (listPlacedGroups(job).size === 0) {
			const cause = this.#withdrawals.end(job, 'returned')!;
			this.#answerGivenUp(job, cause.reason, cause.retryAfterMs);
		}
	}

	/** A holder that has not answered by now may have started a task; the caller learns that now rather than at its deadline. */
	#endOverdueWithdrawal(job: EntryJob): void {
		if (this.#withdrawals.isOverdue(job)) {
			this.#withdrawals.end(job, 'unanswered');
			this.#answerGivenUp(job, 'its scheduler does not answer');
		}
	}

	/**
	Gives up a job under whose tasks too many executors have crashed; no task of it is started again, whoever submits
	it. None of its runs has ended as failed, so its caller must not be told that it has.
	*/
	#giveUpIfCondemned(job: EntryJob): boolean {
		const {id} = job.request;
		if (this.#ports.crashes.findCondemnedTask(id) === undefined) {
			return false;
		}

		// Executors crashed under runs of the job, perhaps of an earlier copy: the answer must not be that nothing has run.
		job.isStarted = true;
		this.#giveUp(job, 'executors crashed under its task', maxRetryAfterMs);
		return true;
	}

	/** Each time this entry accepts the same job, `takenAtMs` is larger than before, even if the wall clock has stepped back. */
	#chooseTakenAt(id: string, unreadMs: number): number {
		const formerAt = this.#holderContacts.findTakenAt(id) ?? -Infinity;
		const arrivedAtMs = this.#ports.readWallClock() - unreadMs;
		return Math.max(arrivedAtMs, formerAt + 1);
	}

	#createRecall(): CopyRecall {
		const {self, now, peers, groups, log} = this.#ports;
		return createCopyRecall({
			self,
			now,
			peers,
			lostHolders: this.#lostHolders,
			giveUp: (id) => {
				const job = this.#jobs.get(id);
				if (job) {
					this.#giveUpReplaced(job);
				}
			},
			listTokens: () =>
				groups.list().map(({state: {group, token}}) => [group, token]),
			findTakenAt: (id) => this.#jobs.get(id)?.takenAtMs,
			listPossibleHolders: (unlinked) =>
				listPossibleHolders(unlinked, groups.list(), now()),
			listPlaces: (id) => this.#holderContacts.listPlaces(id, now()),
			listCrashes: this.#ports.crashes.listByJob,
			log,
		});
	}

	#placeIfWaiting(job: EntryJob): void {
		if (!this.#giveUpIfCondemned(job) && this.#waitingJobs.delete(job)) {
			this.#placeUnplaced(job);
		}
	}

	#removeWaiter(job: EntryJob, onAnswer: (answer: JobAnswer) => void): void {
		job.waiters.delete(onAnswer);
		if (job.waiters.size === 0) {
			this.#answer(job, {type: 'cancelled'});
		}
	}

	/** The caller has since sent the job to another entry, so nobody reads the answer given here. */
	#giveUpReplaced(job: EntryJob): void {
		job.isStarted = true;
		this.#answerGivenUp(job, 'another host has a later copy');
	}

	#placeUnplaced(job: EntryJob): void {
		const unplaced = job.tasks.filter(
			({group, isDone}) => group === undefined && !isDone,
		);
		this.#placeTasks(job, unplaced);
	}

	#receiveEnd(
		job: EntryJob,
		end: TaskEnd,
		{
			holder,
			message,
			returned,
		}: {holder: string; message: Ends; returned: EntryTask[]},
	): void {
		const task = job.tasks[end.index];
		const isFromHolder =
			task?.placement === end.placement &&
			this.#isFromCurrentHolder(job, task, holder, message);
		if (!task || task.isDone || (end.outcome !== 'done' && !isFromHolder)) {
			return;
		}

		task.nextAttempt = Math.max(task.nextAttempt, end.attempt + 1);
		switch (end.outcome) {
			case 'done': {
				task.isDone = true;
				if (!isFromHolder) {
					this.#dropClaimIfUnused(job, task);
				}

				if (end.runMs !== undefined) {
					this.#ports.runTimes.addRunTime(job.request.queue.name, end.runMs);
				}

				break;
			}

			case 'failed': {
				this.#answer(job, {
					type: 'failed',
					task: end.index,
					reason: 'its task has failed too often',
				});
				break;
			}

			case 'returned': {
				task.shifts += 1;
				task.fullReturns += Number(message.reason === 'full');
				task.group = undefined;
				returned.push(task);
				break;
			}
		}
	}

	/**
	A task was done at a holder that it had been moved away from. The group that it was moved to must not start it or continue
	running it, so the claim there is dropped once none of the job's other tasks needs it.
	*/
	#dropClaimIfUnused(job: EntryJob, {group}: EntryTask): void {
		const known =
			group === undefined ? undefined : this.#ports.groups.findGroup(group);
		const claim = group === undefined ? undefined : job.claims.get(group);
		const isLast = group !== undefined && listTasksAt(job, group).length === 0;
		if (!known || claim === undefined || !isLast) {
			return;
		}

		job.claims.delete(known.state.group);
		this.#holderContacts.sendDrop({
			holder: known.holder,
			message: {
				t: 'drop',
				group,
				job: job.request.id,
				takenAtMs: job.takenAtMs,
				claim,
			},
			place: undefined,
			sentAt: this.#ports.now(),
		});
	}

	/** Whether the message comes from the holder that has the task now, and is about the claim under which it has the task. */
	#isFromCurrentHolder(
		{claims}: EntryJob,
		{group}: EntryTask,
		holder: string,
		{token, claim}: Ends,
	): boolean {
		const known =
			group === undefined ? undefined : this.#ports.groups.findGroup(group);
		return (
			known?.holder === holder &&
			known.state.token === token &&
			claims.get(known.state.group) === claim
		);
	}

	/**
	A scheduler returned tasks: places them elsewhere, unless they can no longer end in time or too many groups were full.
	`from`: the group that returned them.
	*/
	#placeReturned(
		job: EntryJob,
		tasks: EntryTask[],
		{reason, from}: {reason: Ends['reason']; from?: string},
	): void {
		job.isAdmitted ||= reason === 'elsewhere';
		// Tasks that were withdrawn while another task of the job was being started are needed again.
		const isWithdrawn = tasks.every(
			({placement, withdrawnPlacement}) => placement === withdrawnPlacement,
		);
		if (reason === 'hopeless' && !isWithdrawn) {
			this.#giveUpForRoom(job, 'its tasks can no longer end in time');
			return;
		}

		if (
			reason === 'full' &&
			tasks.some(({fullReturns}) => fullReturns >= maxFullGroups)
		) {
			this.#giveUpForRoom(job, 'no room in time');
			return;
		}

		this.#placeTasks(job, tasks, from);
	}

	/** Places tasks in groups; `avoidedGroup` is a group that has just returned them, and counts as having no free capacity. */
	#placeTasks(job: EntryJob, tasks: EntryTask[], avoidedGroup?: string): void {
		const ports = this.#ports;
		const now = ports.now();
		if (ports.pauses.isCatchingUp()) {
			this.#waitForConfirmation(job, {
				reason: 'this host was paused and has yet to read whether callers left',
			});
			return;
		}

		const {queue, demand, constraints} = job.request;
		const allOpenGroups = ports.groups.listOpen(now);
		if (allOpenGroups.length === 0) {
			if (ports.groups.areAllEvacuated()) {
				this.#giveUp(job, 'all data centres are evacuated', maxRetryAfterMs);
			} else {
				this.#waitForScheduler(job, now);
			}

			return;
		}

		const usableGroups = allOpenGroups.filter(({labels}) =>
			hasRequiredLabel(labels, constraints),
		);
		const openGroups = this.#listPunctual(usableGroups).map((known) =>
			known.group === avoidedGroup ? {...known, free: []} : known,
		);
		if (openGroups.length === 0) {
			this.#giveUp(job, 'no executor has the required label', maxRetryAfterMs);
			return;
		}

		const ownPlaces = this.#holderContacts.listPlaces(job.request.id, now);
		this.#replacement.askGroups(job, ownPlaces, now);
		const obstacle = this.#replacement.findObstacle(job, now);
		if (obstacle) {
			this.#waitForConfirmation(job, obstacle);
			return;
		}

		this.#extendAdmission(job, now);

		const spread = placeJob(openGroups, {
			count: tasks.length,
			demand,
			priority: queue.priority,
			estimateMs: job.estimateMs,
			isLate: isLate(job, now),
			home: ports.home,
			limitMs: getLatestEnd(job) - now,
			random: ports.random,
		});
		if (spread.type === 'refused') {
			ports.log('no group can serve the tasks in time', {
				job: job.request.id,
				tasks: tasks.length,
				estimateMs: job.estimateMs,
				waitMs: spread.waitMs,
				groups: ports.groups.describe(now),
			});
			this.#giveUpForRoom(job, 'no room in time', spread.retryAfterMs);
			return;
		}

		let next = 0;
		for (const [group, share] of spread.shares) {
			const part = tasks.slice(next, next + share);
			next += share;
			this.#sendToGroup(job, group, part);
		}
	}

	/** The groups whose holders answer in time; all of them if none does. */
	#listPunctual(groups: OpenGroup[]): OpenGroup[] {
		const punctual = groups.filter(
			({group}) => !this.#withdrawals.isLate(group),
		);
		return punctual.length > 0 ? punctual : groups;
	}

	/**
	After all hosts lost power, or while this host was paused, no scheduler is known for some tenths of a second. Jobs that arrive
	then, about a hundred a second, wait as long as their answer would still be of use. Refusing them would lose jobs that a
	scheduler accepts a moment later.
	*/
	#waitForScheduler(job: EntryJob, now: number): void {
		const isExpected = now - this.#schedulerReachableAt <= noSchedulerTimeoutMs;
		if (!isExpected || now + job.estimateMs >= job.usefulUntil) {
			this.#giveUp(job, 'no scheduler is in reach');
			return;
		}

		// The job waits because no scheduler is reachable, not for lack of capacity: it is admitted even if it will be late.
		job.isAdmitted = true;
		this.#waitingJobs.add(job);
	}

	#waitForConfirmation(
		job: EntryJob,
		{reason, earliestClearAt}: CopyObstacle,
	): void {
		const now = this.#ports.now();
		const startsAt = Math.max(now, earliestClearAt ?? now);
		if (startsAt + job.estimateMs >= job.usefulUntil) {
			// Another copy may have started tasks, so the caller must not get the answer that nothing has run.
			const places = [...(job.copyCheck?.places.values() ?? [])];
			job.isStarted ||= places.some(({isSure}) => isSure);
			this.#giveUp(job, reason, startsAt - now);
			return;
		}

		this.#waitingJobs.add(job);
	}

	/** Extends the job's admission limit by the time that it waited for answers about other copies: that wait says nothing about capacity. */
	#extendAdmission(job: EntryJob, now: number): void {
		const {copyCheck} = job;
		if (copyCheck?.askedAt !== undefined) {
			const waitedMs = now - copyCheck.askedAt;
			job.admitUntil = Math.min(job.usefulUntil, job.admitUntil + waitedMs);
			copyCheck.askedAt = undefined;
		}
	}

	#sendToGroup(job: EntryJob, group: string, tasks: EntryTask[]): void {
		if (tasks.length === 0) {
			return;
		}

		const token = this.#ports.groups.findGroup(group)?.state.token;
		for (const task of tasks) {
			task.group = group;
			task.firstToken = token;
			task.placement += 1;
		}

		if (listTasksAt(job, group).length === tasks.length) {
			this.#replaceClaim(job, group);
		}

		this.#ports.groups.takeCapacity(
			group,
			job.request.demand.cpu,
			tasks.length,
		);
		this.#sendPart(job, group, tasks, false);
	}

	/**
	Sends the job's tasks in the group again under a new claim. An earlier holder may run them, or the messages may have been
	lost, so the part is marked as moved: the group's holder first checks for runs before it starts a task.
	*/
	#sendUnderNewClaim(job: EntryJob, group: string): void {
		const tasks = listTasksAt(job, group);
		this.#replaceClaim(job, group);
		for (const task of tasks) {
			task.placement += 1;
			task.nextAttempt += maxUnreportedAttempts;
		}

		if (tasks.length > 0) {
			job.isResent = true;
			this.#sendPart(job, group, tasks, true);
		}
	}

	/** Replaces the job's claim on the group by a new one: this entry no longer renews the earlier claim. */
	#replaceClaim(job: EntryJob, group: string): void {
		this.#lastClaim += 1;
		job.claims.set(group, this.#lastClaim);
	}

	#sendPart(
		job: EntryJob,
		group: string,
		tasks: EntryTask[],
		isMoved: boolean,
	): void {
		const known = this.#ports.groups.findGroup(group);
		const claim = job.claims.get(group);
		if (!known || claim === undefined) {
			return;
		}

		const now = this.#ports.now();
		const {holder, state} = known;
		const crashes = this.#ports.crashes.listByJob(job.request.id);
		const part = makePart(job, tasks, {isMoved, claim, state, now, crashes});
		this.#holderContacts.sendPart(holder, part);
	}

	#findGroupOf(holder: string, token: number): string | undefined {
		return this.#ports.groups
			.list()
			.find((known) => known.holder === holder && known.state.token === token)
			?.state.group;
	}

	/** The claims under which the group has tasks that this entry still wants. */
	#listClaims(group: string): number[] {
		return [...this.#jobs.values()].flatMap((job) => {
			const claim = job.claims.get(group);
			const isWanted =
				claim !== undefined && listTasksAt(job, group).length > 0;
			return isWanted ? claim : [];
		});
	}

	/** Whether this entry replaces other copies of some job. Groups prefer its copy only while they receive messages from this entry. */
	#hasReplacingJob(): boolean {
		return [...this.#jobs.values()].some(
			({copyCheck}) => copyCheck !== undefined,
		);
	}

	/**
	Places tasks of a silent holder in other groups once that holder has certainly stopped them. If that would be too late for the
	caller, the job is given up now rather than when the caller's time is over.
	*/
	#moveLostTasks(job: EntryJob, now: number): void {
		const {groups, log} = this.#ports;
		const lost = findLostTasks(job, groups, now);
		if (!lost) {
			return;
		}

		if (lost.movableAt + job.estimateMs > job.usefulUntil) {
			this.#answerGivenUp(job, 'its scheduler is silent');
			return;
		}

		if (lost.movableAt > now) {
			return;
		}

		log('scheduler is silent: placing its tasks in other groups', {
			job: job.request.id,
			tasks: lost.tasks.length,
			claims: [...new Set(lost.tasks.map(({group}) => group!))].map(
				(group) => ({group, claim: job.claims.get(group)}),
			),
			silentMs: Math.round(now - lost.lastStateAt),
		});
		for (const task of lost.tasks) {
			job.claims.delete(task.group!);
			task.group = undefined;
			task.nextAttempt += maxUnreportedAttempts;
		}

		// The silent holder may have started some of the tasks, so the job must no longer be answered as refused.
		job.isStarted = true;
		this.#placeTasks(job, lost.tasks);
	}

	/** Gives the job up for lack of room, which its caller is told to expect at a time that differs from that of other callers. */
	#giveUpForRoom(
		job: EntryJob,
		reason: string,
		roomMs = estimateRetryMs(
			this.#ports.groups.listOpen(this.#ports.now()),
			() => minRetryAfterMs,
		),
	): void {
		this.#giveUp(job, reason, drawRetryAfterMs(roomMs, this.#ports.random));
	}

	/** Gives the job up, after its tasks were withdrawn from the groups that have not started them. */
	#giveUp(job: EntryJob, reason: string, retryAfterMs = minRetryAfterMs): void {
		if (this.#withdrawals.start(job, {reason, retryAfterMs})) {
			this.#waitingJobs.delete(job);
		} else {
			this.#answerGivenUp(job, reason, retryAfterMs);
		}
	}

	#answerGivenUp(
		job: EntryJob,
		reason: string,
		retryAfterMs = minRetryAfterMs,
	): void {
		const type =
			job.isStarted || this.#isPossiblyStarted(job) ? 'given-up' : 'refused';
		this.#answer(job, {
			type,
			reason,
			retryAfterMs: Math.min(
				maxRetryAfterMs,
				Math.max(minRetryAfterMs, retryAfterMs),
			),
		});
	}

	/** Whether a scheduler may have started a task without its report having arrived. */
	#isPossiblyStarted(job: EntryJob): boolean {
		return job.isResent || job.tasks.some(({group}) => group !== undefined);
	}

	#answer(job: EntryJob, answer: JobAnswer): void {
		const {id} = job.request;
		if (this.#jobs.get(id) !== job) {
			return;
		}

		const now = this.#ports.now();
		this.#jobs.delete(id);
		this.#taskCount -= job.tasks.length;
		this.#waitingJobs.delete(job);
		this.#withdrawals.end(job, 'ended');
		for (const group of this.#listGroupsOf(job)) {
			const known = this.#ports.groups.findGroup(group);
			if (known) {
				this.#holderContacts.sendDrop({
					holder: known.holder,
					message: {t: 'drop', group, job: id, takenAtMs: job.takenAtMs},
					place:
						findPlace(job, known, now) ??
						this.#replacement.findPlace(job, group, now),
					sentAt: now,
				});
			}
		}

		this.#ports.onAnswer(job, answer, now - job.arrivedAt);
		for (const waiter of job.waiters) {
			waiter(answer);
		}
	}

	/** Groups that hold state of the job: tasks, or a record that this entry's copy replaces others. */
	#listGroupsOf(job: EntryJob): Set<string> {
		const replacing = job.copyCheck
			? this.#ports.groups.list().map(({state}) => state.group)
			: [];
		return new Set([...replacing, ...listPlacedGroups(job)]);
	}
}

/** Where tasks of a job that is being dropped may still run in this group; undefined: the group has none. */
function findPlace(
	job: EntryJob,
	{state: {group, token}}: KnownGroup,
	now: number,
): CopyPlace | undefined {
	const firstTokens = listTasksAt(job, group).map(
		(task) => task.firstToken ?? 0,
	);
	return firstTokens.length === 0
		? undefined
		: {
				group,
				tokens: [Math.min(...firstTokens), token],
				stoppedBy: now + orphanLimitMs + clockSlackMs,
				isSure: true,
			};
}
