/**
The configuration that entries work by: queues, by host name and path, and the services behind them.
*/

export type Queue = {
	name: string;
	/** The host name in callers' requests. */
	host: string;
	/** The beginning of the path, ending in "/". */
	prefix: string;
	service: string;
	/** 0 goes first. */
	priority: number;
	/** Failed runs after which a task counts as failed. */
	maxAttempts: number;
	/** How long a caller waits that does not say. */
	timeoutMs: number;
	/** The latency objective: `slackFactor` times the longest task, and this. */
	allowanceMs: number;
	slackFactor: number;
};

export type QueueTable = {
	/** Rises with each change. */
	version: number;
	queues: Queue[];
	/** Services that have executors. */
	services: string[];
	/** Those of them whose executors refuse what their capacity doesn't hold. */
	guardedServices: string[];
	/** Largest body of a request, bytes. */
	maxBodyBytes: number;
};

/**
The queue that a request is for: the longest prefix under its host name.

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
