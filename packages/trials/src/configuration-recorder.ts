/**
Watches the teams in force at every host of a trial, by asking again and again, and notes each
step back: a revision lower than one seen before, or a deleted team that returns.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {z} from 'zod';

/** Time between two looks at a host: the resolution of what is measured, milliseconds. */
const lookEveryMs = 20;
const callLimitMs = 1000;

const teamsSchema = z.object({
	items: z.array(
		z.object({resource: z.object({name: z.string(), revision: z.number()})}),
	),
});

export type ObservedHost = {name: string; url: string};

/** What one host showed last: revisions by team. */
type Seen = Map<string, number>;

export class ConfigurationRecorder {
	/** Each step back, as a line of text; empty when nothing reverted. */
	readonly reverts: string[] = [];
	readonly #hosts: readonly ObservedHost[];
	readonly #seen = new Map<string, Seen>();
	/** By host and team: when the host began to show the revision. */
	readonly #arrivals = new Map<string, number>();
	readonly #deleted = new Set<string>();
	readonly #stopped = new AbortController();
	readonly #loops: Array<Promise<void>>;

	constructor(hosts: readonly ObservedHost[]) {
		this.#hosts = hosts;
		this.#loops = hosts.map(async (host) => this.#follow(host));
	}

	/** A process that starts anew has shown nothing yet. */
	forgetHost(name: string): void {
		this.#seen.delete(name);
	}

	/**
	Resolves when every host shows at least this revision (or, null, no such team), with how long
	it took each one from `since`, milliseconds; after the limit with who does not.
	*/
	async waitForAll(
		team: string,
		revision: number | null,
		options: {since: number; limitMs: number; hosts?: readonly string[]},
	): Promise<{tookMs: number[]; missing: string[]}> {
		const {since, limitMs} = options;
		const names = options.hosts ?? this.#hosts.map(({name}) => name);
		let missing = [...names];
		while (missing.length > 0 && performance.now() - since < limitMs) {
			await delay(lookEveryMs / 2);
			missing = names.filter((name) => !this.#shows(name, team, revision));
		}

		const tookMs = names
			.filter((name) => !missing.includes(name))
			.map((name) => (this.#arrivals.get(`${name} ${team}`) ?? since) - since);
		return {tookMs: tookMs.map((ms) => Math.max(0, ms)), missing};
	}

	/** From now on a host that has once not shown the team must not show it again. */
	expectDeleted(team: string): void {
		this.#deleted.add(team);
	}

	async stop(): Promise<void> {
		this.#stopped.abort();
		await Promise.all(this.#loops);
	}

	#shows(host: string, team: string, revision: number | null): boolean {
		const seen = this.#seen.get(host);
		if (!seen) {
			return false;
		}

		const shown = seen.get(team);
		return revision === null
			? shown === undefined
			: shown !== undefined && shown >= revision;
	}

	async #follow(host: ObservedHost): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			const teams = await readTeams(host.url);
			if (teams) {
				this.#compare(host.name, teams);
			}

			await delay(lookEveryMs);
		}
	}

	#compare(host: string, now: Seen): void {
		const before = this.#seen.get(host) ?? new Map<string, number>();
		for (const [team, revision] of now) {
			const earlier = before.get(team);
			if (earlier !== undefined && revision < earlier) {
				this.reverts.push(`${host}: ${team} from ${earlier} to ${revision}`);
			}

			if (earlier === undefined && this.#deleted.has(team) && before.size > 0) {
				this.reverts.push(`${host}: ${team} came back at ${revision}`);
			}

			if (earlier !== revision) {
				this.#arrivals.set(`${host} ${team}`, performance.now());
			}
		}

		for (const [team, revision] of before) {
			if (!now.has(team)) {
				this.#arrivals.set(`${host} ${team}`, performance.now());
				if (!this.#deleted.has(team)) {
					this.reverts.push(`${host}: ${team} lost after ${revision}`);
				}
			}
		}

		this.#seen.set(host, now);
	}
}

/** Undefined: the host did not answer. */
async function readTeams(url: string): Promise<Seen | undefined> {
	try {
		const response = await request(`${url}/v1/teams`, {
			signal: AbortSignal.timeout(callLimitMs),
		});
		const {items} = teamsSchema.parse(await response.body.json());
		return new Map(
			items.map(({resource}) => [resource.name, resource.revision]),
		);
	} catch {
		return undefined;
	}
}
