/**
Tells a crash of one executor from its other ends, and which tasks it may be blamed on: those whose runs were neither proved over
nor refused. An executor that drains is expected to leave; one that is silent may only be out of reach.
*/
import {type Run} from './run.js';

export type CrashWatchPorts = {
	isDraining: () => boolean;
	/** The executor is silent, and the lease of these runs has passed. */
	onSilence: (runs: readonly Run[]) => void;
	/** The executor has not crashed, or its end was planned. */
	onCleared: () => void;
	onCrash: (runs: readonly Run[]) => void;
};

export type CrashWatch = {
	/** Runs that were given up as the executor is silent and their lease has passed. */
	noteLapsed: (runs: readonly Run[]) => void;
	/** The executor answers in this life. */
	noteAnswer: () => void;
	/** This life of the executor is over; `runs` are those of before. */
	noteGone: (runs: readonly Run[]) => void;
};

export function createCrashWatch(ports: CrashWatchPorts): CrashWatch {
	let lapsed: readonly Run[] = [];
	return {
		noteLapsed(runs) {
			const suspects = pickSuspects(runs);
			lapsed = [...lapsed, ...suspects];
			if (suspects.length > 0 && !ports.isDraining()) {
				ports.onSilence(suspects);
			}
		},
		noteAnswer() {
			lapsed = [];
			ports.onCleared();
		},
		noteGone(runs) {
			const suspects = [...lapsed, ...pickSuspects(runs)];
			lapsed = [];
			if (ports.isDraining()) {
				ports.onCleared();
			} else if (suspects.length > 0) {
				ports.onCrash(suspects);
			}
		},
	};
}

function pickSuspects(runs: readonly Run[]): Run[] {
	return runs.filter(
		({stoppedAt, isRefused}) => stoppedAt === undefined && !isRefused,
	);
}
