/**
The registrations of this host and of others in the store, among them unusable ones.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {okAsync} from 'neverthrow';
import {type CoordinationStore} from '@gentianshift/scheduling';
import {createStrictBackground} from '@gentianshift/scheduling/fixtures';
import {createHostPresence} from './host-presence.js';

const self = {
	name: 'm1',
	dataCentre: 'mieres',
	role: 'entry',
	address: '10.1.0.13:8166',
	state: 'live',
} as const;

// Another program has written something else among the hosts' registrations. A host that dialled
// its address, which has no port, would crash; a host that rejected the whole list would find no
// other host.
test('a key that holds no host is left out of the list and logged once', async () => {
	const texts: Record<string, string> = {
		m2: JSON.stringify({...self, name: 'm2'}),
		'no-port': JSON.stringify({...self, address: '10.1.0.14'}),
		'octal-ip': JSON.stringify({...self, address: '10.1.0.014:8166'}),
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
		background: createStrictBackground(),
		onRegistered() {
			// This host does not register here.
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
		['no-port', 'octal-ip', 'other-role', 'bytes', 'nothing'].map(
			(name) => `gentianshift/hosts/${name}`,
		),
	);
});
