/**
The log of starts of all executors of one process, kept in memory.
*/
import {type Start} from './executor-schemas.js';

export class StartLog {
	readonly #starts: Start[] = [];
	readonly #tasks = new Set<string>();

	/** Records a start; true when the task had been started before. */
	recordStart(start: Start): boolean {
		this.#starts.push(start);
		const isDuplicate = this.#tasks.has(start.task);
		this.#tasks.add(start.task);
		return isDuplicate;
	}

	/** The starts from the given number on, one JSON line each. */
	*formatSince(since: number): Generator<string> {
		for (let i = since; i < this.#starts.length; i++) {
			yield `${JSON.stringify(this.#starts[i])}\n`;
		}
	}

	clear(): void {
		this.#starts.length = 0;
		this.#tasks.clear();
	}
}
