/**
The jobs that callers brought to this host: handed to schedulers task by task, followed until
all tasks are done, and answered at once when they are or when they can't be.

The entry is the one that knows a job. A scheduler that dies, or loses its group, takes nothing
with it that the entry could not hand to the next one.
*/
import {
	type ClaimsEnded,
	type Ends,
	type RecallCopy,
	type CopyRecalled,
	type Replaced,
	type TaskEnd,
} from '@gentianshift/protocol';
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
	getLimit,
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
import {createLostHolders, type LostHolders} from './lost-holders.js';
import {findLostTasks} from './lost-tasks.js';
import {type RunTimes} from './run-times.js';
import {clockSlackMs, orphanLimitMs} from './timing.js';
import {makePart} from './make-part.js';
import {placeJob} from './place-job.js';
import {isLate} from './rank-jobs.js';

/** Attempts that a lost scheduler may have used up beyond those that the entry heard of. */
const lostAttempts = 16;
/** Groups that may turn a job away before it is refused: what is known of the others' room is as old as what was known of these. */
const maxFullGroups = 2;
/**
No scheduler in reach for longer than this: none is expected. Longer than a takeover takes without
the store (`holderSilenceMs`, `storelessDelayMs`), or a start of all hosts.
*/
const holderlessLimitMs = 2000;
/** Least time after which a refused caller is asked to come again: a queue's state has changed by then. */
const leastRetryMs = 1000;
/** Longest; a wait that can't be told is no reason to keep a caller away for long. */
const mostRetryMs = 10_000;

export type EntryPorts = {
	/** This process: `<host key>.<incarnation>`. */
	self: string;
	peers: EntryPeers;
	/** This host's data centre. */
	home: string;
	now: () => number;
	/** Milliseconds since 1970. */
	readWallClock: () => number;
	groups: GroupDirectory;
	runTimes: RunTimes;
	/** Shared with the scheduler on the same host. */
	crashes: CrashRecords;
	/** Hands a message to a group's holder; false: there is no connection to it. */
	send: (holder: string, message: HolderMessage) => boolean;
	log: (message: string, fields: Record<string, unknown>) => void;
	onAnswer: (job: EntryJob, answer: JobAnswer, tookMs: number) => void;
};

export class EntryJobs {
	readonly #ports: EntryPorts;
	readonly #jobs = new Map<string, EntryJob>();
	readonly #holders: HolderContacts;
	readonly #lostHolders: LostHolders;
	readonly #recall: CopyRecall;
	readonly #replacement: CopyReplacement;
	/** Jobs with tasks that wait for a scheduler to be in reach, or for other copies to be over. */
	readonly #waiting = new Set<EntryJob>();
	#lastClaim = 0;
	/** When a scheduler was last in reach; at first: when this host started. */
	#reachedAt: number;

	constructor(ports: EntryPorts) {
		this.#ports = ports;
		this.#holders = createHolderContacts(ports.send);
		this.#lostHolders = createLostHolders(ports.groups, ports.now());
		this.#recall = this.#createRecall();
		this.#replacement = createCopyReplacement({
			groups: ports.groups,
			recall: this.#recall,
			lostHolders: this.#lostHolders,
			send: (holder, message) => {
				this.#holders.sendReplace(holder, message);
			},
			log: ports.log,
		});
		this.#reachedAt = ports.now();
	}

	get size(): number {
		return this.#jobs.size;
	}

	/** Jobs of a queue of which no task has been started. */
	countPending(queue: string): number {
		let count = 0;
		for (const {request, isStarted} of this.#jobs.values()) {
			count += Number(request.queue.name === queue && !isStarted);
		}

		return count;
	}

	/**
	Takes a job; `onAnswer` is called once. A job that is here already is joined.

	Gives what tells that the caller has left: the job is cancelled when nobody else waits for it.
	*/
	submit(
		request: JobRequest,
		onAnswer: (answer: JobAnswer) => void,
	): () => void {
		const known = this.#jobs.get(request.id);
		if (known) {
			known.waiters.add(onAnswer);
			return () => {
				this.#abandon(known, onAnswer);
			};
		}

		const {queue, declaredMs} = request;
		const estimateMs = this.#ports.runTimes.estimate(queue.name, declaredMs);
		const job = createEntryJob(request, estimateMs, {
			now: this.#ports.now(),
			takenAtMs: this.#chooseTakenAt(request.id),
		});
		job.waiters.add(onAnswer);
		this.#jobs.set(request.id, job);
		if (!this.#failIfCondemned(job)) {
			this.#placeTasks(job, job.tasks);
		}

		return () => {
			this.#abandon(job, onAnswer);
		};
	}

	/** The caller has cancelled: nothing more is started. */
	cancel(id: string): boolean {
		const job = this.#jobs.get(id);
		if (job) {
			this.#answer(job, {type: 'cancelled'});
		}

		return job !== undefined;
	}

	/** What a holder tells this entry. */
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

	/** A holder has nothing of what this entry waits for there: it is handed over anew. */
	receiveClaimsEnded(holder: string, {token, claims}: ClaimsEnded): void {
		const known = this.#ports.groups
			.list()
			.find((one) => one.holder === holder && one.state.token === token);
		if (!known) {
			return;
		}

		const {group} = known.state;
		for (const job of this.#jobs.values()) {
			if (claims.includes(job.claims.get(group) ?? -1)) {
				this.#handOverAnew(job, group);
			}
		}
	}

	/** A holder has stopped what it had of other copies of a job, or has a later one. */
	receiveReplaced(holder: string, message: Replaced): void {
		const {job: id, takenAtMs, isRefused, crashes = []} = message;
		this.#ports.crashes.learn(crashes, this.#ports.now());
		const job = this.#jobs.get(id);
		if (job?.takenAtMs !== takenAtMs) {
			return;
		}

		if (isRefused) {
			this.#giveUpReplaced(job);
			return;
		}

		this.#replacement.confirm(job, holder, {
			message,
			now: this.#ports.now(),
		});
		this.#placeIfWaiting(job);
	}

	/** Another entry asks for this one's copy of a job; `from` is the host that the question came from. */
	receiveRecall(from: string, message: RecallCopy): void {
		this.#recall.receiveRecall(from, message);
	}

	/** An entry has given its copy of a job up, or has none, or a later one. */
	receiveRecalled(message: CopyRecalled): void {
		this.#ports.crashes.learn(message.crashes ?? [], this.#ports.now());
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
		// A host that has just given its group up: the tasks may run, and wait for the next holder.
		if (!job || message.reason === 'released') {
			return;
		}

		this.#ports.crashes.learn(message.crashes ?? [], this.#ports.now());
		if (this.#failIfCondemned(job)) {
			return;
		}

		if (message.isStarted) {
			job.isStarted = true;
			job.startToldAt ??= this.#ports.now();
		}

		const from = this.#findGroupOf(holder);
		const returned: EntryTask[] = [];
		for (const end of message.ends) {
			this.#receiveEnd(job, end, {holder, message, returned});
		}

		if (!this.#jobs.has(message.job)) {
			return;
		}

		if (job.tasks.every(({isDone}) => isDone)) {
			this.#answer(job, {type: 'completed'});
		} else if (returned.length > 0) {
			this.#placeReturned(job, returned, {reason: message.reason, from});
		}
	}

	/** A group has another holder: it is told what this entry has there. */
	handOver(group: string): void {
		const now = this.#ports.now();
		for (const job of this.#jobs.values()) {
			this.#replacement.askAgain(job, group, now);
			const tasks = listTasksAt(job, group);
			if (tasks.length > 0) {
				job.isHandedOver = true;
				this.#sendPart(job, group, tasks, true);
			}
		}

		const known = this.#ports.groups.findGroup(group);
		if (known) {
			this.#holders.sendKeep(known, this.#listClaims(group));
		}
	}

	/** A holder has told its state: jobs that wait for a scheduler are placed, and what this entry has there is renewed. */
	receiveState(group: string): void {
		this.placeWaiting();
		this.answerState(group);
	}

	/** The connection to a host's process broke; `heardAt`: when that host was last there for sure. */
	markLinkDown(host: string, incarnation: string, heardAt: number): void {
		this.#lostHolders.markBroken(host, incarnation, heardAt);
	}

	/** A connection to a host's process is made. */
	markLinkUp(host: string, incarnation: string): void {
		this.#lostHolders.markBack(host, incarnation);
		this.#recall.passUnsent(host);
		for (const job of this.#jobs.values()) {
			this.#recall.askAgain(job, host);
		}
	}

	/** A connection to a holder is back: what was sent meanwhile is sent again. */
	sendAgain(holder: string): void {
		this.#holders.sendDropsAgain(holder, this.#ports.now());
		for (const {state, holder: current} of this.#ports.groups.list()) {
			if (current === holder) {
				this.handOver(state.group);
			}
		}
	}

	/** Places what waits for a scheduler; to be called when one is heard of. */
	placeWaiting(): void {
		const waiting = [...this.#waiting];
		this.#waiting.clear();
		for (const job of waiting) {
			this.#placeUnplaced(job);
		}
	}

	/** Renews what this entry has at the group; once for each state that its holder tells. */
	answerState(group: string): void {
		const known = this.#ports.groups.findGroup(group);
		if (!known || !this.#holders.hasNewState(known)) {
			return;
		}

		const claims = this.#listClaims(group);
		if (claims.length > 0 || this.#isReplacing()) {
			this.#holders.sendKeep(known, claims);
		}
	}

	/** What time alone brings about; to be called each 50 ms or so. */
	update(): void {
		const now = this.#ports.now();
		if (this.#ports.groups.listRooms(now).length > 0) {
			this.#reachedAt = now;
		}

		this.placeWaiting();
		for (const {state} of this.#ports.groups.list()) {
			if (state.group !== this.#ports.home) {
				this.answerState(state.group);
			}
		}

		this.#holders.forgetOld(now);
		this.#ports.crashes.forgetOld(now);
		for (const job of this.#jobs.values()) {
			if (this.#failIfCondemned(job)) {
				continue;
			}

			if (now >= job.endsAt) {
				this.#giveUp(job, 'no answer in the time that the caller waits');
			} else {
				this.#moveLost(job, now);
			}
		}
	}

	/** Nothing of a job that crashes executors is started again, whoever hands it in. */
	#failIfCondemned(job: EntryJob): boolean {
		const task = this.#ports.crashes.findCondemned(job.request.id);
		if (task === undefined) {
			return false;
		}

		this.#answer(job, {
			type: 'failed',
			task,
			reason: 'executors crashed under its task',
		});
		return true;
	}

	/** Each taking of a job by this entry is later than the one before, also where the time of day steps back. */
	#chooseTakenAt(id: string): number {
		const formerAt = this.#holders.findTakenAt(id) ?? -Infinity;
		return Math.max(this.#ports.readWallClock(), formerAt + 1);
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
			listPlaces: (id) => this.#holders.listPlaces(id, now()),
			listCrashes: this.#ports.crashes.listOf,
			log,
		});
	}

	#placeIfWaiting(job: EntryJob): void {
		if (!this.#failIfCondemned(job) && this.#waiting.delete(job)) {
			this.#placeUnplaced(job);
		}
	}

	#abandon(job: EntryJob, onAnswer: (answer: JobAnswer) => void): void {
		job.waiters.delete(onAnswer);
		if (job.waiters.size === 0) {
			this.#answer(job, {type: 'cancelled'});
		}
	}

	/** The caller has sent the job elsewhere since; nobody reads the answer given here. */
	#giveUpReplaced(job: EntryJob): void {
		job.isStarted = true;
		this.#giveUp(job, 'another host has a later copy');
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
			this.#isCurrent(job, task, holder, message);
		if (!task || task.isDone || (end.outcome !== 'done' && !isFromHolder)) {
			return;
		}

		task.nextAttempt = Math.max(task.nextAttempt, end.attempt + 1);
		switch (end.outcome) {
			case 'done': {
				task.isDone = true;
				if (!isFromHolder) {
					this.#takeAway(job, task);
				}

				if (end.runMs !== undefined) {
					this.#ports.runTimes.learn(job.request.queue.name, end.runMs);
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
				task.group = undefined;
				returned.push(task);
				break;
			}
		}
	}

	/** A task that has ended elsewhere is not to be started, or to run on, where it was moved to. */
	#takeAway(job: EntryJob, {group}: EntryTask): void {
		const known =
			group === undefined ? undefined : this.#ports.groups.findGroup(group);
		const claim = group === undefined ? undefined : job.claims.get(group);
		const isLast = group !== undefined && listTasksAt(job, group).length === 0;
		if (!known || claim === undefined || !isLast) {
			return;
		}

		job.claims.delete(known.state.group);
		this.#holders.sendDrop({
			holder: known.holder,
			message: {
				t: 'drop',
				job: job.request.id,
				takenAtMs: job.takenAtMs,
				claim,
			},
			place: undefined,
			at: this.#ports.now(),
		});
	}

	/** The word is of the holder that has the task now, and of the claim under which it has it. */
	#isCurrent(
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

	/** A scheduler gave tasks back: they are tried elsewhere, while that is of use. */
	#placeReturned(
		job: EntryJob,
		tasks: EntryTask[],
		{reason, from}: {reason: Ends['reason']; from?: string},
	): void {
		job.isLetIn ||= reason === 'elsewhere';
		if (reason === 'hopeless') {
			this.#giveUp(job, 'its tasks can no longer end in time');
			return;
		}

		if (
			reason === 'full' &&
			tasks.some(({shifts}) => shifts >= maxFullGroups)
		) {
			this.#giveUp(job, 'no room in time');
			return;
		}

		this.#placeTasks(job, tasks, from);
	}

	/** Places tasks; `avoided` is a group that has just found no room for them. */
	#placeTasks(job: EntryJob, tasks: EntryTask[], avoided?: string): void {
		const ports = this.#ports;
		const now = ports.now();
		const {queue, demand} = job.request;
		const rooms = ports.groups
			.listRooms(now)
			.map((room) => (room.group === avoided ? {...room, free: []} : room));
		if (rooms.length === 0) {
			this.#waitForScheduler(job, now);
			return;
		}

		const ownPlaces = this.#holders.listPlaces(job.request.id, now);
		this.#replacement.ask(job, ownPlaces, now);
		const obstacle = this.#replacement.findObstacle(job, now);
		if (obstacle) {
			this.#waitForConfirmation(job, obstacle);
			return;
		}

		this.#extendAdmission(job, now);

		const spread = placeJob(rooms, {
			count: tasks.length,
			demand,
			priority: queue.priority,
			estimateMs: job.estimateMs,
			isLate: isLate(job, now),
			home: ports.home,
			limitMs: getLimit(job) - now,
		});
		if (spread.type === 'refused') {
			ports.log('no group can serve the tasks in time', {
				job: job.request.id,
				tasks: tasks.length,
				estimateMs: job.estimateMs,
				waitMs: spread.waitMs,
				groups: ports.groups.describe(now),
			});
			this.#giveUp(job, 'no room in time', spread.retryAfterMs);
			return;
		}

		let next = 0;
		for (const [group, share] of spread.shares) {
			const part = tasks.slice(next, next + share);
			next += share;
			this.#handTo(job, group, part);
		}
	}

	/**
	After all hosts lost power, or while this one was paused, no scheduler is known for some tenths
	of a second. Refused then, a hundred jobs a second are lost that a scheduler would take
	a moment later; so they wait for it while their answer would still be of use.
	*/
	#waitForScheduler(job: EntryJob, now: number): void {
		const isExpected = now - this.#reachedAt <= holderlessLimitMs;
		if (!isExpected || now + job.estimateMs >= job.uselessAt) {
			this.#giveUp(job, 'no scheduler is in reach');
			return;
		}

		// It has waited for want of a scheduler, not of room: it is let in also if it will be late.
		job.isLetIn = true;
		this.#waiting.add(job);
	}

	#waitForConfirmation(job: EntryJob, {reason, clearAt}: CopyObstacle): void {
		const now = this.#ports.now();
		const startsAt = Math.max(now, clearAt ?? now);
		if (startsAt + job.estimateMs >= job.uselessAt) {
			// Where another copy has been started, that nothing ran would not be true.
			const places = [...(job.copyCheck?.places.values() ?? [])];
			job.isStarted ||= places.some(({isSure}) => isSure);
			this.#giveUp(job, reason, startsAt - now);
			return;
		}

		this.#waiting.add(job);
	}

	/** A job that has waited for want of an answer, not of room, is let in as much later, and judged like others otherwise. */
	#extendAdmission(job: EntryJob, now: number): void {
		const {copyCheck} = job;
		if (copyCheck?.askedAt !== undefined) {
			const waitedMs = now - copyCheck.askedAt;
			job.admitUntil = Math.min(job.uselessAt, job.admitUntil + waitedMs);
			copyCheck.askedAt = undefined;
		}
	}

	#handTo(job: EntryJob, group: string, tasks: EntryTask[]): void {
		if (tasks.length === 0) {
			return;
		}

		const token = this.#ports.groups.findGroup(group)?.state.token;
		for (const task of tasks) {
			task.group = group;
			task.token = token;
			task.placement += 1;
		}

		if (listTasksAt(job, group).length === tasks.length) {
			this.#openClaim(job, group);
		}

		this.#ports.groups.take(group, job.request.demand.cpu, tasks.length);
		this.#sendPart(job, group, tasks, false);
	}

	/** What was there may have been lost on the way, or an earlier holder may run it: the group looks before it starts anything. */
	#handOverAnew(job: EntryJob, group: string): void {
		const tasks = listTasksAt(job, group);
		this.#openClaim(job, group);
		for (const task of tasks) {
			task.placement += 1;
			task.nextAttempt += lostAttempts;
		}

		if (tasks.length > 0) {
			job.isHandedOver = true;
			this.#sendPart(job, group, tasks, true);
		}
	}

	/** Nothing of an earlier claim of the job on the group is wanted any more. */
	#openClaim(job: EntryJob, group: string): void {
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
		const crashes = this.#ports.crashes.listOf(job.request.id);
		const part = makePart(job, tasks, {isMoved, claim, state, now, crashes});
		this.#holders.sendPart(holder, part);
	}

	#findGroupOf(holder: string): string | undefined {
		return this.#ports.groups.list().find((known) => known.holder === holder)
			?.state.group;
	}

	/** Under which the group has tasks that this entry still wants. */
	#listClaims(group: string): number[] {
		return [...this.#jobs.values()].flatMap((job) => {
			const claim = job.claims.get(group);
			const isWanted =
				claim !== undefined && listTasksAt(job, group).length > 0;
			return isWanted ? claim : [];
		});
	}

	/** All groups know of a job that this entry's copy is the one that counts, while they hear this entry. */
	#isReplacing(): boolean {
		return [...this.#jobs.values()].some(
			({copyCheck}) => copyCheck !== undefined,
		);
	}

	/**
	Tasks of a group whose holder is silent are placed elsewhere once it has stopped them. Where that
	would be too late for the caller, it is told now rather than at the end of its time.
	*/
	#moveLost(job: EntryJob, now: number): void {
		const {groups, log} = this.#ports;
		const lost = findLostTasks(job, groups, now);
		if (!lost) {
			return;
		}

		if (lost.movableAt + job.estimateMs > job.uselessAt) {
			this.#giveUp(job, 'its scheduler is silent');
			return;
		}

		if (lost.movableAt > now) {
			return;
		}

		log('scheduler is silent: placing its tasks anew', {
			job: job.request.id,
			tasks: lost.tasks.length,
		});
		for (const task of lost.tasks) {
			job.claims.delete(task.group!);
			task.group = undefined;
			task.nextAttempt += lostAttempts;
		}

		// It may have started some: a refusal would not be true any more.
		job.isStarted = true;
		this.#placeTasks(job, lost.tasks);
	}

	#giveUp(job: EntryJob, reason: string, retryAfterMs = leastRetryMs): void {
		const type =
			job.isStarted || this.#isMaybeStarted(job) ? 'given-up' : 'refused';
		this.#answer(job, {
			type,
			reason,
			retryAfterMs: Math.min(mostRetryMs, Math.max(leastRetryMs, retryAfterMs)),
		});
	}

	/** A scheduler may have started a task whose word is still on its way. */
	#isMaybeStarted(job: EntryJob): boolean {
		return job.isHandedOver || job.tasks.some(({group}) => group !== undefined);
	}

	#answer(job: EntryJob, answer: JobAnswer): void {
		const {id} = job.request;
		if (this.#jobs.get(id) !== job) {
			return;
		}

		const now = this.#ports.now();
		this.#jobs.delete(id);
		this.#waiting.delete(job);
		for (const group of this.#listGroupsOf(job)) {
			const known = this.#ports.groups.findGroup(group);
			if (known) {
				this.#holders.sendDrop({
					holder: known.holder,
					message: {t: 'drop', job: id, takenAtMs: job.takenAtMs},
					place:
						findPlace(job, known, now) ??
						this.#replacement.findPlace(job, group, now),
					at: now,
				});
			}
		}

		this.#ports.onAnswer(job, answer, now - job.arrivedAt);
		for (const waiter of job.waiters) {
			waiter(answer);
		}
	}

	/** Groups that keep something of the job: tasks, or that this entry's copy is the one that counts. */
	#listGroupsOf(job: EntryJob): Set<string> {
		const groups = new Set(
			job.copyCheck
				? this.#ports.groups.list().map(({state}) => state.group)
				: [],
		);
		for (const {group, isDone} of job.tasks) {
			if (group !== undefined && !isDone) {
				groups.add(group);
			}
		}

		return groups;
	}
}

/** The group has tasks of the job, which are stopped; undefined: it has none. */
function findPlace(
	job: EntryJob,
	{state: {group, token}}: KnownGroup,
	now: number,
): CopyPlace | undefined {
	const firstTokens = listTasksAt(job, group).map((task) => task.token ?? 0);
	return firstTokens.length === 0
		? undefined
		: {
				group,
				tokens: [Math.min(...firstTokens), token],
				overAt: now + orphanLimitMs + clockSlackMs,
				isSure: true,
			};
}
