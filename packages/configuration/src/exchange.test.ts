import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import xxhash from 'xxhash-wasm';
import {formatKey, type Resource} from '@gentianshift/resources';
import {
	answerExchange,
	buildDigest,
	exchangeMessageSchema,
	maxResourcesPerMessage,
	type ExchangeMessage,
} from './exchange.js';
import {createResourceTable, type ResourceTable} from './table.js';

const {h64} = await xxhash();

function buildTeam(i: number, revision: number, weight = 1): Resource {
	return {
		kind: 'teams',
		name: `team-${i}`,
		revision,
		changeId: `c${revision}`,
		spec: {weight},
	};
}

/** Delivers messages both ways until neither side answers; returns the number of messages. */
function runExchange(a: ResourceTable, b: ResourceTable): number {
	let delivered = 0;
	let toB: ExchangeMessage[] = [buildDigest(a)];
	let toA: ExchangeMessage[] = [];
	while (toB.length + toA.length > 0) {
		delivered += toB.length + toA.length;
		const answers = toB.flatMap((message) => answerExchange(b, message));
		toB = toA.flatMap((message) => answerExchange(a, message));
		toA = answers;
	}

	return delivered;
}

function runUntilEqual(a: ResourceTable, b: ResourceTable): void {
	for (let round = 0; round < 20; round++) {
		runExchange(a, b);
		runExchange(b, a);
	}

	assert.deepEqual(a.computeDigest(), b.computeDigest());
}

test('hosts with equal tables exchange a single digest', () => {
	const [a, b] = [createResourceTable(h64), createResourceTable(h64)];
	a.apply(buildTeam(1, 5));
	b.apply(buildTeam(1, 5));
	assert.equal(runExchange(a, b), 1);
});

test('a host that starts while the platform is down gets all resources from a peer', () => {
	// The new host can't read the store. Without its peers it would know no service, and refuse jobs
	// that the other hosts accept.
	const [old, fresh] = [createResourceTable(h64), createResourceTable(h64)];
	for (let i = 0; i < 2000; i++) {
		old.apply(buildTeam(i, i + 1));
	}

	runUntilEqual(old, fresh);
	assert.equal(fresh.list('teams').length, 2000);
});

test('a resource that one host missed is transferred although both have the same highest revision', () => {
	const [a, b] = [createResourceTable(h64), createResourceTable(h64)];
	for (let i = 0; i < 1200; i++) {
		a.apply(buildTeam(i, i + 1));
		if (i !== 600) {
			b.apply(buildTeam(i, i + 1));
		}
	}

	runUntilEqual(a, b);
	assert.ok(b.get({kind: 'teams', name: 'team-600'}));
});

test('each message of an answer conforms to its schema and its size limit', () => {
	const table = createResourceTable(h64);
	for (let i = 0; i < 1000; i++) {
		table.apply(buildTeam(i, i + 1));
	}

	const messages = answerExchange(table, {
		t: 'config-digest',
		revision: 0,
		hash: '',
	});
	for (const message of messages) {
		exchangeMessageSchema.parse(message);
		assert.ok(
			message.t === 'config-resources' &&
				message.resources.length <= maxResourcesPerMessage,
		);
	}
});

type Step =
	| {type: 'change'; key: number; isDelete: boolean}
	| {type: 'event' | 'snapshot'; host: number; age: number}
	| {type: 'exchange'; from: number; to: number; isFirstAnswerLost: boolean};

const hostCount = 3;
const hostArbitrary = fc.nat({max: hostCount - 1});
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	fc.record({
		type: fc.constant('change' as const),
		key: fc.nat({max: 4}),
		isDelete: fc.boolean(),
	}),
	fc.record({
		type: fc.constantFrom('event' as const, 'snapshot' as const),
		host: hostArbitrary,
		age: fc.nat({max: 20}),
	}),
	fc.record({
		type: fc.constant('exchange' as const),
		from: hostArbitrary,
		to: hostArbitrary,
		isFirstAnswerLost: fc.boolean(),
	}),
);

/** The store's history: one event a change; the revision of a change is its position in `events`, from 1. */
function buildHistory() {
	const events: Resource[] = [];
	return {
		events,
		change(key: number, isDelete: boolean) {
			const team = buildTeam(key, events.length + 1, events.length);
			events.push(isDelete ? {...team, changeId: '', spec: null} : team);
		},
		/** The store's snapshot at a revision; deleted keys are absent from it. */
		readAt(revision: number): Resource[] {
			const state = new Map(
				events
					.slice(0, revision)
					.map((event) => [formatKey(event), event] as const),
			);
			return [...state.values()].filter(({spec}) => spec !== null);
		},
	};
}

function runStep(
	step: Step,
	tables: ResourceTable[],
	history: ReturnType<typeof buildHistory>,
): void {
	const {events} = history;
	switch (step.type) {
		case 'change': {
			history.change(step.key, step.isDelete);
			break;
		}

		case 'event': {
			const event = events.at(-1 - (step.age % (events.length + 1)));
			if (event) {
				tables[step.host]!.apply(event);
			}

			break;
		}

		case 'snapshot': {
			const revision = Math.max(0, events.length - step.age);
			tables[step.host]!.applySnapshot(history.readAt(revision), revision);
			break;
		}

		case 'exchange': {
			const [from, to] = [tables[step.from]!, tables[step.to]!];
			const answers = answerExchange(to, buildDigest(from));
			for (const answer of step.isFirstAnswerLost
				? answers.slice(1)
				: answers) {
				answerExchange(from, answer);
			}

			break;
		}
	}
}

test('in any order of events, snapshots and exchanges, no resource reverts to an older revision and all tables converge', () => {
	// Old watch events, late snapshots and peers that were partitioned deliver older revisions. A host that
	// accepted one would run a configuration that an operator has replaced, and nobody would notice.
	fc.assert(
		fc.property(fc.array(stepArbitrary, {maxLength: 80}), (steps) => {
			const tables = Array.from({length: hostCount}, () =>
				createResourceTable(h64),
			);
			const history = buildHistory();
			for (const table of tables) {
				table.subscribe((now, before) => {
					assert.ok(now.revision > (before?.revision ?? -1));
				});
			}

			for (const step of steps) {
				runStep(step, tables, history);
			}

			const last = history.events.length;
			tables[0]!.applySnapshot(history.readAt(last), last);
			for (const table of [...tables.slice(1), ...tables.slice(1)]) {
				runUntilEqual(tables[0]!, table);
			}

			const expected = history
				.readAt(last)
				.toSorted((a, b) => (a.name < b.name ? -1 : 1));
			for (const table of tables) {
				assert.deepEqual(table.list('teams'), expected);
			}
		}),
		{numRuns: 500, seed: 4},
	);
});
