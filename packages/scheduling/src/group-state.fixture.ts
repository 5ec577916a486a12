/**
Group states for tests: by default two free executors and no waiting work.
*/
import {type GroupState} from '@gentianshift/protocol';

export function makeState(
	group: string,
	state: Partial<GroupState> = {},
): GroupState {
	return {
		t: 'group-state',
		group,
		token: 1,
		at: 0,
		isLeaving: false,
		isReleased: false,
		storeAgeMs: 0,
		free: [32_000, 32_000],
		capacity: 64_000,
		backlog: [0, 0, 0, 0],
		lateBacklog: [0, 0, 0, 0],
		running: [0, 0, 0, 0],
		...state,
	};
}
