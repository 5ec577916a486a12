/**
Load pattern: power is back, and holders are still dialling a hundred hosts while callers of these wait.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type GroupState, type Link, type Session} from '@gentianshift/protocol';
import {createGroupDirectory} from '@gentianshift/scheduling';
import {createSchedulingHandlers} from './scheduling-handlers.js';

const state: GroupState = {
	t: 'group-state',
	group: 'mieres',
	token: 7,
	at: 0,
	isLeaving: false,
	isReleased: false,
	storeAgeMs: 0,
	free: [],
	capacity: 1000,
	backlog: [],
	lateBacklog: [],
	running: [],
};

function openHandlers() {
	const groups = createGroupDirectory();
	const toldGroups: string[] = [];
	const stateReceivers: unknown[] = [];
	const doNothing = () => undefined;
	const handlers = createSchedulingHandlers({
		directory: {
			markLinkUp: doNothing,
			markLinkDown: doNothing,
			markSession: doNothing,
			markLeaving: doNothing,
			receiveHosts: doNothing,
		},
		roles: {
			crashes: {addReported: doNothing},
			entry: {
				sendGroupTasks(group: string) {
					toldGroups.push(group);
				},
				receiveState: doNothing,
				markLinkDown: doNothing,
			},
			groups,
			holding: {releaseIfReplaced: doNothing},
			sendStateTo(peer: unknown) {
				stateReceivers.push(peer);
			},
		} as unknown as Parameters<typeof createSchedulingHandlers>[0]['roles'],
		tables: {sendVersion: doNothing, receive: doNothing},
		work: {
			measure: (_cause, work) => work(),
		},
		isAnnouncedTo: () => false,
		findAddress: () => '',
		now: () => 1000,
		log: doNothing,
	});
	return {groups, handlers, toldGroups, stateReceivers};
}

const link = {key: 'mieres_h1', hello: {}} as unknown as Link;

// Guards against jobs that wait until a holder has dialled this host, although this host has dialled the holder.
test('the state of a holder counts also on the connection that this host dialled', () => {
	const {handlers, groups, toldGroups} = openHandlers();
	handlers.onReply(link, state);
	assert.equal(groups.findGroup('mieres')?.holder, 'mieres_h1');
	assert.deepEqual(toldGroups, ['mieres']);
});

test('a host that dials this one is sent the state at once', () => {
	const {handlers, stateReceivers} = openHandlers();
	const session = link;
	handlers.onSessionUp(session);
	assert.deepEqual(stateReceivers, [session]);
});
