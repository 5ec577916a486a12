/**
This host's entry in the store and the others', also those that another writer left there.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {okAsync} from 'neverthrow';
import {type CoordinationStore} from '@gentianshift/scheduling';
import {createHostPresence} from './host-presence.js';

const self = {
	name: 'm1',
	dataCentre: 'mieres',
	role: 'entry',
	address: '10.1.0.13:8166',
	state: 'live',
} as const;

// Something else than a host stands among the hosts' entries. A host that dials what it says, an address without a port, ends; one that
// gives the list up finds nobody.
test('an entry that is not a host’s is left out and logged once', async () => {
	const texts: Record<string, string> = {
		m2: JSON.stringify({...self, name: 'm2'}),
		'no-port': JSON.stringify({...self, address: '10.1.0.14'}),
		'other-role': JSON.stringify({...self, role: 'guest'}),
		bytes: '\u{FFFD}{',
		nothing: '',
	};
	const items = Object.entries(texts).map(([name, value], i) => ({
		key: `gentianshift/hosts/${name}`,
		value,
		revision: i + 1,
	}));
	const logged: unknown[] = [];
	const presence = createHostPresence({
		self,
		store: {
			readPrefix: () => okAsync({items, revision: 9}),
		} as unknown as CoordinationStore,
		random: () => 0,
		onEntered() {
			// It does not enter here.
		},
		log(_message, {key}) {
			logged.push(key);
		},
	});
	for (let i = 0; i < 2; i += 1) {
		const hosts = await presence.fetchHosts();
		assert.deepEqual(
			hosts._unsafeUnwrap().map(({name}) => name),
			['m2'],
		);
	}

	assert.deepEqual(
		logged,
		['no-port', 'other-role', 'bytes', 'nothing'].map(
			(name) => `gentianshift/hosts/${name}`,
		),
	);
});
