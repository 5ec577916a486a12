/**
The configuration of entries: queues, selected by host name and path, and the services that run their tasks.
*/

export type Queue = {
	name: string;
	/** The host name of callers' requests to this queue. */
	host: string;
	/** Beginning of the paths of this queue, ending in "/". */
	prefix: string;
	service: string;
	/** Lower numbers go first; 0 is the highest priority. */
	priority: number;
	/** Failed runs after which a task counts as failed. */
	maxAttempts: number;
	/** How long a caller waits whose request gives no time-out. */
	timeoutMs: number;
	/** The latency objective is `slackFactor` times the longest task's run time, plus this. */
	allowanceMs: number;
	slackFactor: number;
	/** Executors run tasks of this queue only with an approval, which this program does not ask for. */
	requiresApproval?: boolean;
};

export type QueueTable = {
	/** Increases with each change. */
	version: number;
	queues: Queue[];
	/** Services that have executors. */
	services: string[];
	/** Those of `services` whose executors refuse starts that exceed their capacity. */
	capacityEnforcingServices: string[];
	/** Largest request body, bytes. */
	maxBodyBytes: number;
};

/**
Finds the queue of a request: of those with its host name, the one with the longest matching prefix.

@example
findQueue(table, 'meals.example', '/menu/5c0e7a21d94b36f8')?.prefix; // '/menu/'
*/
export function findQueue(
	{queues}: QueueTable,
	host: string,
	path: string,
): Queue | undefined {
	let best: Queue | undefined;
	for (const queue of queues) {
		const isMatch = queue.host === host && path.startsWith(queue.prefix);
		if (isMatch && queue.prefix.length > (best?.prefix.length ?? -1)) {
			best = queue;
		}
	}

	return best;
}
