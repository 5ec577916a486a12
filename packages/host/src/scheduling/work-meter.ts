/**
Time that this host's thread spends on each cause, such as one kind of message. A sampling profile of
a host with a fraction of a core shows mostly idle samples; these sums show where its share goes.
*/
export type WorkRecord = {seconds: number; count: number};

export type WorkMeter = {
	/**
	Runs synchronous work and adds its time to the cause. Work measured within it counts for its own
	cause only.
	*/
	measure: <T>(cause: string, work: () => T) => T;
	list: () => ReadonlyMap<string, WorkRecord>;
};

const msPerSecond = 1000;

/**
`now` is monotonic, milliseconds.

@example
const meter = createWorkMeter(() => performance.now());
meter.measure('part', () => scheduler.receive(entry, part));
*/
export function createWorkMeter(now: () => number): WorkMeter {
	const records = new Map<string, WorkRecord>();
	/** Time of nested work within the measured work that runs now, milliseconds. */
	let nestedMs = 0;

	function addRecord(cause: string, ms: number): void {
		const record = records.get(cause) ?? {seconds: 0, count: 0};
		record.seconds += ms / msPerSecond;
		record.count += 1;
		records.set(cause, record);
	}

	return {
		measure(cause, work) {
			const outerNestedMs = nestedMs;
			nestedMs = 0;
			const startedAt = now();
			try {
				return work();
			} finally {
				const totalMs = now() - startedAt;
				addRecord(cause, totalMs - nestedMs);
				nestedMs = outerNestedMs + totalMs;
			}
		},
		list: () => records,
	};
}
