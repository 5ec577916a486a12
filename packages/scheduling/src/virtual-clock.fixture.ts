/**
A clock for tests whose time passes only in `run`, which also runs the timers that become due.
*/

type Timer = {at: number; run: () => void};

export class VirtualClock {
	now = 0;
	/** Waits that go on and can be ended by a signal. */
	waitCount = 0;
	readonly #timers: Timer[] = [];

	/** Resolves after `ms` virtual milliseconds, or when the signal is aborted. */
	wait = async (ms: number, signal?: AbortSignal): Promise<void> => {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>((resolve) => {
			let isOver = false;
			const end = () => {
				this.waitCount -= Number(signal !== undefined && !isOver);
				isOver = true;
				signal?.removeEventListener('abort', end);
				resolve();
			};

			this.waitCount += Number(signal !== undefined);
			this.schedule(ms, end);
			signal?.addEventListener('abort', end);
		});
	};

	schedule(ms: number, run: () => void): void {
		const at = this.now + ms;
		this.#timers.splice(this.#findIndex(at), 0, {at, run});
	}

	/** Advances the clock by `ms` milliseconds, and runs the timers that become due in order. */
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

	/** Removes and returns the first timer that is due by `endsAt`; of those due together, the one scheduled first. */
	#takeDue(endsAt: number): Timer | undefined {
		const first = this.#timers[0];
		return first && first.at <= endsAt ? this.#timers.shift() : undefined;
	}

	/** Index at which a timer for `at` is inserted: after all timers due at the same time or earlier. */
	#findIndex(at: number): number {
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

/** Yields to the microtask queue several times, so that continuations of settled promises run. */
async function settleTasks(): Promise<void> {
	for (let i = 0; i < 12; i += 1) {
		await Promise.resolve();
	}
}
