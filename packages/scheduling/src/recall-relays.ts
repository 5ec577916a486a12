/**
Chooses the hosts that pass a recall on to hosts without a connection to this one.

If each linked host passed it on to each other one, a first request would cost a message for every pair of hosts: with a
hundred hosts that start together, more than they can handle before their callers have left.
*/

/** Hosts that are asked to pass a recall on to the same host; one of them may have lost its connection as well. */
export const relaysPerHost = 3;

/**
For each relay the hosts that it passes the recall on to. Hosts of the same data centre are preferred as relays: most likely
these have a connection. Hosts are named `<data centre>_<host>`.
*/
export function chooseRelays(
	unlinked: readonly string[],
	linked: readonly string[],
): Map<string, string[]> {
	const assigned = new Map<string, string[]>();
	for (const [i, host] of unlinked.entries()) {
		const dataCentre = getDataCentre(host);
		const near = linked.filter((relay) => getDataCentre(relay) === dataCentre);
		const relays = near.length >= relaysPerHost ? near : linked;
		for (let k = 0; k < Math.min(relaysPerHost, relays.length); k += 1) {
			const relay = relays[(i * relaysPerHost + k) % relays.length]!;
			assigned.set(relay, [...(assigned.get(relay) ?? []), host]);
		}
	}

	return assigned;
}

function getDataCentre(host: string): string {
	return host.slice(0, host.indexOf('_'));
}
