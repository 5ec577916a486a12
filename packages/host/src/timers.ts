/**
Repeated work that ends with the host.
*/

/** Pauses before a failed call of the store is made again: few and growing, as the store may be down for long. */
export const retryPausesMs = [50, 100, 200, 400] as const;

/** Resolves after so many milliseconds, or when the signal is aborted. */
export async function waitFor(ms: number, signal?: AbortSignal): Promise<void> {
	if (signal?.aborted) {
		return;
	}

	await new Promise<void>((resolve) => {
		const end = () => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', end);
			resolve();
		};

		const timer = setTimeout(end, ms);
		signal?.addEventListener('abort', end);
	});
}

/**
Passes of the event loop until a request is read from a connection (up to two), and the close behind it is read (one) and handled (up to
two); the first one may have begun. Connections that are not accepted yet are not waited for: the event loop accepts one in each pass.
*/
const passesUntilRead = 6;

/** Calls back once all that this process's accepted connections hold now has been read and handled. */
export function waitForReads(onRead: () => void): void {
	let passesLeft = passesUntilRead;
	const countPass = () => {
		passesLeft -= 1;
		if (passesLeft === 0) {
			onRead();
		} else {
			setImmediate(countPass);
		}
	};

	setImmediate(countPass);
}

/** Waits for this time, more or less by up to a quarter. */
export async function waitAround(
	ms: number,
	{signal, random}: {signal: AbortSignal; random: () => number},
): Promise<void> {
	await waitFor(ms * (0.75 + random() / 2), signal);
}

/** Runs work again and again, with `everyMs` of jittered pause, until the signal is aborted. */
export async function repeat(
	work: () => Promise<void> | void,
	{
		everyMs,
		signal,
		random,
	}: {everyMs: number; signal: AbortSignal; random: () => number},
): Promise<void> {
	while (!signal.aborted) {
		await work();
		await waitAround(everyMs, {signal, random});
	}
}

/** Runs work until it succeeds, with jittered pauses; gives up after the last of them. */
export async function repeatUntilDone(
	work: () => Promise<boolean>,
	{
		pausesMs,
		signal,
		random,
	}: {
		pausesMs: readonly number[];
		signal: AbortSignal;
		random: () => number;
	},
): Promise<void> {
	for (const pauseMs of pausesMs) {
		if (signal.aborted || (await work())) {
			return;
		}

		await waitAround(pauseMs, {signal, random});
	}

	if (!signal.aborted) {
		await work();
	}
}
