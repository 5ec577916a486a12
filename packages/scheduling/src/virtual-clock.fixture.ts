/**
A clock for tests that moves only when it is told to, and runs what is due on the way.
*/

type Timer = {at: number; run: () => void};

export class VirtualClock {
	now = 0;
	readonly #timers: Timer[] = [];

	/** Resolves after so many virtual milliseconds, or when the signal is aborted. */
	wait = async (ms: number, signal?: AbortSignal): Promise<void> => {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>((resolve) => {
			const end = () => {
				signal?.removeEventListener('abort', end);
				resolve();
			};

			this.schedule(ms, end);
			signal?.addEventListener('abort', end);
		});
	};

	schedule(ms: number, run: () => void): void {
		const at = this.now + ms;
		this.#timers.splice(this.#findPlace(at), 0, {at, run});
	}

	/** Moves on by so many milliseconds, one due timer after the other. */
	async run(ms: number): Promise<void> {
		const endsAt = this.now + ms;
		await settleTasks();
		for (;;) {
			const due = this.#takeDue(endsAt);
			if (!due) {
				break;
			}

			this.now = Math.max(this.now, due.at);
			due.run();
			await settleTasks();
		}

		this.now = endsAt;
	}

	/** The first timer that is due by then, the oldest of those that are due together. */
	#takeDue(endsAt: number): Timer | undefined {
		const first = this.#timers[0];
		return first && first.at <= endsAt ? this.#timers.shift() : undefined;
	}

	/** Timers are kept in the order in which they run: behind all that are due by then. */
	#findPlace(at: number): number {
		let from = 0;
		let to = this.#timers.length;
		while (from < to) {
			const middle = Math.floor((from + to) / 2);
			if (this.#timers[middle]!.at <= at) {
				from = middle + 1;
			} else {
				to = middle;
			}
		}

		return from;
	}
}

/** Lets promises that are settled run on. */
async function settleTasks(): Promise<void> {
	for (let i = 0; i < 12; i += 1) {
		await Promise.resolve();
	}
}
