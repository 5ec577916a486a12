/**
The hosts a client may send to, and the issuers they gave.
*/
import {drawOrder} from './draw-order.js';

/** A host that did not answer is asked last for this long, milliseconds. */
const suspectMs = 5000;
/**
Milliseconds an issuer is used. Its host may be gone or its generation past by then, and a job
under a lapsed issuer is answered "unknown" though it never ran.
*/
const issuerMaxAgeMs = 20_000;

type HostState = {
	issuer?: string;
	issuerAt: number;
	suspectUntil: number;
};

export class HostList {
	readonly #hosts = new Map<string, HostState>();

	constructor(hosts: readonly string[]) {
		for (const host of hosts) {
			this.#hosts.set(host, {issuerAt: 0, suspectUntil: 0});
		}
	}

	/** All hosts in random order, so that load spreads; those that were silent come last. */
	listInOrder(): string[] {
		const now = performance.now();
		const hosts = drawOrder(this.#hosts.keys());
		const isSuspect = (host: string) =>
			this.#hosts.get(host)!.suspectUntil > now;
		return [
			...hosts.filter((host) => !isSuspect(host)),
			...hosts.filter((host) => isSuspect(host)),
		];
	}

	markSuspect(host: string): void {
		const state = this.#hosts.get(host)!;
		state.suspectUntil = performance.now() + suspectMs;
		state.issuer = undefined;
	}

	/** Notes that a host answered, with the issuer that it gave. */
	note(host: string, issuer: string | undefined): void {
		const state = this.#hosts.get(host)!;
		state.suspectUntil = 0;
		if (issuer !== undefined) {
			state.issuer = issuer;
			state.issuerAt = performance.now();
		}
	}

	getIssuer(host: string): string | undefined {
		const {issuer, issuerAt} = this.#hosts.get(host)!;
		return performance.now() - issuerAt < issuerMaxAgeMs ? issuer : undefined;
	}

	/** Forgets an issuer whose host is gone, wherever it came from. */
	dropIssuer(id: string): void {
		for (const state of this.#hosts.values()) {
			if (state.issuer !== undefined && id.startsWith(`${state.issuer}.`)) {
				state.issuer = undefined;
			}
		}
	}
}
