/**
Delay and faults of the network between clients and the executors, told by the client's IP.
*/
import {type Socket} from 'node:net';
import {type LinkChange} from './executor-schemas.js';
import {resetSocket} from './reset-socket.js';

/** One-way delay for clients whose IP begins with the prefix, milliseconds. */
export type LinkDelay = {from: string; delayMs: number};

/** Links between clients and the executors of one process. */
export class ExecutorLinks {
	readonly #delays: readonly LinkDelay[];
	readonly #faults = new Map<string, 'cut' | 'silent'>();
	readonly #open = new Map<Socket, string>();
	readonly #silenced = new WeakSet<Socket>();

	constructor(delays: readonly LinkDelay[]) {
		this.#delays = delays;
	}

	/** Takes in a new connection; false when its link is cut. */
	admitSocket(socket: Socket): boolean {
		const from = socket.remoteAddress ?? '';
		const fault = this.#findFault(from);
		if (fault === 'cut') {
			resetSocket(socket);
			return false;
		}

		if (fault === 'silent') {
			this.#silenced.add(socket);
		}

		this.#open.set(socket, from);
		socket.once('close', () => {
			this.#open.delete(socket);
		});
		return true;
	}

	/** Whether nothing passes this connection any more. */
	isSilent(socket: Socket): boolean {
		return this.#silenced.has(socket);
	}

	/** One-way delay to and from this client, milliseconds. */
	getDelayMs(from: string): number {
		return (
			this.#delays.find((delay) => from.startsWith(delay.from))?.delayMs ?? 0
		);
	}

	changeLink({from, mode}: LinkChange): void {
		if (mode === 'cut' || mode === 'silent') {
			this.#faults.set(from, mode);
		} else {
			this.#faults.delete(from);
		}

		if (mode === 'ok') {
			return;
		}

		for (const socket of this.#listOpen(from)) {
			if (mode === 'cut') {
				resetSocket(socket);
			} else {
				this.#silenced.add(socket);
			}
		}
	}

	#listOpen(prefix: string): Socket[] {
		return [...this.#open]
			.filter(([, from]) => from.startsWith(prefix))
			.map(([socket]) => socket);
	}

	#findFault(from: string): 'cut' | 'silent' | undefined {
		for (const [prefix, fault] of this.#faults) {
			if (from.startsWith(prefix)) {
				return fault;
			}
		}

		return undefined;
	}
}
