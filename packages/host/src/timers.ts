/**
Repeated work that ends with the host.
*/

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
		await waitFor(everyMs * (0.75 + random() / 2), signal);
	}
}
