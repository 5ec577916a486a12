/**
Work that nobody awaits: loops, and tasks that report their outcome themselves.

An exception there would be an unhandled rejection and end the process, with all executors, peers and callers that have nothing
to do with it. So it is reported, and costs no more than the work that threw.
*/

/** What the work is; the other fields say for whom it is done, and are only logged. */
export type WorkName = {work: string} & Record<string, unknown>;

export type BackgroundOptions = {
	/** Called after an exception in the work; in a loop, before the pause. */
	onException?: () => void;
};

export type LoopOptions = BackgroundOptions & {
	/** Ends the loop. */
	signal: AbortSignal;
	/** Ends the loop as well; asked before each step. */
	isOver?: () => boolean;
};

export type Background = {
	/** Reports an exception that was caught elsewhere. */
	report: (name: WorkName, error: unknown) => void;
	/** Runs the task up to its first pause, and the rest without being awaited. */
	run: (
		name: WorkName,
		task: () => Promise<unknown> | void,
		options?: BackgroundOptions,
	) => void;
	/** Repeats the step, which makes its own pauses. After an exception, the next step follows after a pause that doubles. */
	repeat: (
		name: WorkName,
		step: () => Promise<unknown>,
		options: LoopOptions,
	) => void;
};

const firstPauseMs = 50;
const longestPauseMs = 5000;
/** An exception may occur with each message: one line for each kind of work in this time. */
const logIntervalMs = 1000;

/**
@example
const background = createBackground({now, wait, log, onException: ({work}) => metrics.exceptions.inc({work})});
background.run({work: 'takeover', group}, async () => takeOver());
background.repeat({work: 'executor list'}, readAndPause, {signal});
*/
export function createBackground({
	now,
	wait,
	log,
	onException,
}: {
	now: () => number;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	log: (message: string, fields: Record<string, unknown>) => void;
	/** Called for each exception, logged or not. */
	onException: (name: WorkName) => void;
}): Background {
	/** By work: when an exception was last logged, and how many have not been since. */
	const logged = new Map<string, {at: number; unlogged: number}>();

	function report(name: WorkName, error: unknown): void {
		onException(name);
		const last = logged.get(name.work);
		if (last && now() - last.at < logIntervalMs) {
			last.unlogged += 1;
			return;
		}

		logged.set(name.work, {at: now(), unlogged: 0});
		log('unexpected exception', {
			...name,
			unlogged: last?.unlogged ?? 0,
			...describeError(error),
		});
	}

	/** Returns whether the task has ended without an exception. */
	async function runGuarded(
		name: WorkName,
		task: () => Promise<unknown> | void,
		handleException: (() => void) | undefined,
	): Promise<boolean> {
		try {
			await task();
			return true;
		} catch (error) {
			report(name, error);
		}

		try {
			handleException?.();
		} catch (error) {
			report(name, error);
		}

		return false;
	}

	async function repeatSteps(
		name: WorkName,
		step: () => Promise<unknown>,
		{signal, isOver = () => false, onException}: LoopOptions,
	): Promise<void> {
		let pauseMs = firstPauseMs;
		while (!signal.aborted && !isOver()) {
			if (await runGuarded(name, step, onException)) {
				pauseMs = firstPauseMs;
			} else {
				await wait(pauseMs, signal);
				pauseMs = Math.min(2 * pauseMs, longestPauseMs);
			}
		}
	}

	return {
		report,
		run(name, task, options) {
			void runGuarded(name, task, options?.onException);
		},
		repeat(name, step, options) {
			void repeatSteps(name, step, options);
		},
	};
}

function describeError(error: unknown): {reason: string; stack?: string} {
	return error instanceof Error
		? {reason: error.message, stack: error.stack}
		: {reason: String(error)};
}
