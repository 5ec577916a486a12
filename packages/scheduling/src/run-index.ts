/**
Which executors' sessions have runs of a job, and which have runs or ends that no entry has claimed.

Each placing round asks for every startable task whether it still runs somewhere, and each task of a part may be one that
an earlier holder started. Without this index every question goes through all sessions of the group.

The index may name a session that no longer has what is asked for, but never lacks one that has: callers look it up in
the sessions that are named.
*/

export type RunIndex<S> = {
	/** To be called for each run that is added to a session. */
	add: (job: string, session: S) => void;
	/** To be called for each run that is removed from a session. */
	remove: (job: string, session: S) => void;
	listSessions: (job: string) => Iterable<S>;
	/** Sessions with unclaimed runs or ends. Each session adds itself; whoever finds that it has none left removes it. */
	readonly unclaimed: Set<S>;
};

/**
@example
const index = createRunIndex<string>();
index.add('job1', 'e1');
[...index.listSessions('job1')]; // ['e1']
*/
export function createRunIndex<S>(): RunIndex<S> {
	/** By job: the number of its runs in each session. */
	const counts = new Map<string, Map<S, number>>();
	return {
		add(job, session) {
			let sessions = counts.get(job);
			if (!sessions) {
				sessions = new Map();
				counts.set(job, sessions);
			}

			sessions.set(session, (sessions.get(session) ?? 0) + 1);
		},
		remove(job, session) {
			const sessions = counts.get(job);
			const count = sessions?.get(session);
			if (!sessions || count === undefined) {
				return;
			}

			if (count > 1) {
				sessions.set(session, count - 1);
				return;
			}

			sessions.delete(session);
			if (sessions.size === 0) {
				counts.delete(job);
			}
		},
		listSessions: (job) => counts.get(job)?.keys() ?? [],
		unclaimed: new Set(),
	};
}
