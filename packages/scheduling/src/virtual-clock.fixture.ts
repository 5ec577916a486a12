/**
A clock for tests that moves only when it is told to, and runs what is due on the way.
*/

type Timer = {at: number; run: () => void};

export class VirtualClock {
	now = 0;
	#timers: Timer[] = [];

	/** Resolves after so many virtual milliseconds, or when the signal is aborted. */
	wait = async (ms: number, signal?: AbortSignal): Promise<void> => {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>((resolve) => {
			this.schedule(ms, resolve);
			signal?.addEventListener('abort', () => {
				resolve();
			});
		});
	};

	schedule(ms: number, run: () => void): void {
		this.#timers.push({at: this.now + ms, run});
	}

	/** Moves on by so many milliseconds, one due timer after the other. */
	async run(ms: number): Promise<void> {
		const endsAt = this.now + ms;
		await settleTasks();
		for (;;) {
			const due = this.#timers
				.filter(({at}) => at <= endsAt)
				.toSorted((a, b) => a.at - b.at)[0];
			if (!due) {
				break;
			}

			this.#timers = this.#timers.filter((timer) => timer !== due);
			this.now = Math.max(this.now, due.at);
			due.run();
			await settleTasks();
		}

		this.now = endsAt;
	}
}

/** Lets promises that are settled run on. */
async function settleTasks(): Promise<void> {
	for (let i = 0; i < 12; i += 1) {
		await Promise.resolve();
	}
}
