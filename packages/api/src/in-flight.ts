/**
The requests that wait for a port and the streams that are open, so that a stopping host can
end each of them with a last word instead of cutting it off.
*/

/** Something open that can be ended with a last word. */
export type Open = {end: () => void};

export class InFlight {
	readonly #open = new Set<Open>();

	get size(): number {
		return this.#open.size;
	}

	/** Ends all that is open with its last word. */
	endAll(): void {
		for (const open of this.#open) {
			open.end();
		}

		this.#open.clear();
	}

	add(open: Open): void {
		this.#open.add(open);
	}

	delete(open: Open): void {
		this.#open.delete(open);
	}

	/**
	Waits for work, or for the end of the host's patience, whichever comes first.
	Racing against one promise that lives as long as the host would keep each reaction for
	ever and fill memory; here each wait has an end of its own, let go of with the wait.
	*/
	async wait<T>(work: Promise<T>, makeLastWord: () => T): Promise<T> {
		const open: Open = {end: doNothing};
		const ended = new Promise<T>((resolve) => {
			open.end = () => {
				resolve(makeLastWord());
			};
		});
		this.#open.add(open);
		try {
			return await Promise.race([work, ended]);
		} finally {
			this.#open.delete(open);
		}
	}
}

function doNothing(): void {
	// Replaced before anyone can end it.
}
