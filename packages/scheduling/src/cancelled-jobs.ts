/**
The jobs that callers have cancelled in the last seconds, as far as this host knows. A cancellation concerns the job's id, not one
copy of the job: a request with that id may still be on its way, or lie unread at a host that is frozen.
*/
import {Buffer} from 'node:buffer';

export const defaultMaxCancelledJobs = 50_000;
/** A request lies unread for no longer than a host is frozen or a connection is cut. */
const retentionMs = 30_000;

type Cancellation = {
	/** This host's steady clock. */
	cancelledAt: number;
	/** A caller sent the cancellation to this host, which passes it on to others. */
	isOwn: boolean;
};

/** Whether the job is remembered, and was before; `full`: there is no room for it. */
export type CancellationRecord = 'added' | 'known' | 'full';

export type CancelledJobs = {
	readonly size: number;
	/** `ageMs`: time since the caller cancelled the job, milliseconds. */
	add: (
		job: string,
		{ageMs, isOwn}: {ageMs: number; isOwn: boolean},
	) => CancellationRecord;
	/** Time since the caller cancelled the job, milliseconds; undefined: it is not known to be cancelled. */
	findAge: (job: string) => number | undefined;
	list: (options?: {isOwn?: boolean}) => Array<{job: string; ageMs: number}>;
	forgetOld: () => void;
};

export type CancelledJobsOptions = {
	/** Steady clock, milliseconds. */
	now: () => number;
	/** Jobs beyond this number are not remembered. */
	maxJobs?: number;
};

/**
No cancellation is forgotten early to make room: its caller was promised that no more tasks are started. A caller whose
cancellation finds no room is told so instead.
*/
export function createCancelledJobs({
	now,
	maxJobs = defaultMaxCancelledJobs,
}: CancelledJobsOptions): CancelledJobs {
	const cancellations = new Map<string, Cancellation>();

	function isExpired({cancelledAt}: Cancellation): boolean {
		return now() - cancelledAt > retentionMs;
	}

	function findLive(job: string): Cancellation | undefined {
		const cancellation = cancellations.get(job);
		return cancellation && !isExpired(cancellation) ? cancellation : undefined;
	}

	/** They are in order of their age, but for those that other hosts passed on late. */
	function forgetOld(): void {
		for (const [job, cancellation] of cancellations) {
			if (!isExpired(cancellation)) {
				return;
			}

			cancellations.delete(job);
		}
	}

	return {
		get size() {
			return cancellations.size;
		},
		add(job, {ageMs, isOwn}) {
			const known = findLive(job);
			if (known) {
				known.isOwn ||= isOwn;
				return 'known';
			}

			cancellations.delete(job);
			if (cancellations.size >= maxJobs) {
				return 'full';
			}

			cancellations.set(toOwnText(job), {cancelledAt: now() - ageMs, isOwn});
			return 'added';
		},
		findAge(job) {
			const cancellation = findLive(job);
			return cancellation && now() - cancellation.cancelledAt;
		},
		list: ({isOwn = false} = {}) =>
			[...cancellations].flatMap(([job, cancellation]) =>
				isExpired(cancellation) || (isOwn && !cancellation.isOwn)
					? []
					: {job, ageMs: now() - cancellation.cancelledAt},
			),
		forgetOld,
	};
}

/** A part of a longer string keeps the whole of it in memory: a job's id would keep its request's path. */
function toOwnText(text: string): string {
	return Buffer.from(text, 'utf8').toString('utf8');
}
