/**
A process whose pauses the test plays.
*/
import {type PauseWatch} from './pause-watch.js';

export type FakePauses = {
	pauses: Pick<PauseWatch, 'isCatchingUp' | 'measureUnreadMs'>;
	/** The process runs again after a pause, and has yet to read what arrived in the last `unreadMs`. */
	startCatchingUp: (unreadMs: number) => void;
	endCatchingUp: () => void;
};

export function createFakePauses(): FakePauses {
	let unreadMs: number | undefined;
	return {
		pauses: {
			isCatchingUp: () => unreadMs !== undefined,
			measureUnreadMs: () => unreadMs ?? 0,
		},
		startCatchingUp(ms) {
			unreadMs = ms;
		},
		endCatchingUp() {
			unreadMs = undefined;
		},
	};
}
