/**
Messages between hosts whose handling throws.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Link, type Message, type Session} from '@gentianshift/protocol';
import {createBackground} from '@gentianshift/scheduling';
import {createSchedulingHandlers} from './scheduling-handlers.js';

/** Handlers of a host in which all handling throws but that of lists of hosts. */
function createThrowing() {
	const fail = () => {
		throw new Error('unexpected');
	};

	const exceptions: string[] = [];
	const received: Message[] = [];
	const failing = new Proxy({}, {get: () => fail}) as never;
	const handlers = createSchedulingHandlers({
		directory: {
			markLinkUp: fail,
			markLinkDown: fail,
			markSession: fail,
			markLeaving: fail,
			receiveHosts(message) {
				received.push(message);
			},
		},
		roles: {
			cancellations: failing,
			crashes: failing,
			entry: failing,
			groups: failing,
			holdings: failing,
			registrations: failing,
			sendStateTo: fail,
			receiveState: fail,
		},
		tables: {getVersion: fail, receive: fail},
		evacuations: {getList: fail, receive: fail},
		work: {measure: (_cause, work) => work()},
		background: createBackground({
			now: () => 0,
			wait: async () => undefined,
			log: () => undefined,
			onException({work}) {
				exceptions.push(work);
			},
		}),
		isAnnouncedTo: () => true,
		findAddress: () => '',
		now: () => 0,
		log: () => undefined,
	});
	return {handlers, exceptions, received};
}

const peer = {
	key: 'mieres_m2',
	hello: {incarnation: '0123456789abcdef'},
	send() {
		// Not read.
	},
} as unknown as Link & Session;

// Guards against an exception at one peer's message or connection that ends the host, with all other peers and callers.
test('an exception in the handling of a peer goes no further', () => {
	const {handlers, exceptions, received} = createThrowing();
	const message: Message = {t: 'cancel-job', job: 'a1'};
	handlers.onLinkUp(peer);
	handlers.onSessionUp(peer);
	handlers.onReply(peer, message);
	handlers.onRequest(peer, message);
	handlers.onLeaving(peer.key, true);
	handlers.onSessionDown(peer);
	handlers.onLinkDown(peer, 'closed', 0);
	assert.deepEqual(exceptions, [
		'link up',
		'session up',
		'cancel-job',
		'cancel-job',
		'leaving',
		'session down',
		'link down',
	]);
	handlers.onRequest(peer, {t: 'hosts', known: []});
	assert.equal(received.length, 1);
});
