/**
Distinguishes a crash of one executor from a planned shutdown or a lost connection, and lists the runs that may
have caused the crash: those that are neither proved over nor refused. A draining executor is expected to leave;
a silent one may only be unreachable.
*/
import {type Run} from './run.js';

export type CrashWatchPorts = {
	isDraining: () => boolean;
	/** The executor is silent, and the lease of these runs has expired. */
	onSilence: (runs: readonly Run[]) => void;
	/** The executor has not crashed, or its shutdown was planned. */
	onNotCrashed: () => void;
	/** Also called without runs: crashes of executors that ran nothing show that tasks are not the cause. */
	onCrash: (runs: readonly Run[]) => void;
};

export type CrashWatch = {
	/** To be called with runs that were given up because the executor is silent and their lease has expired. */
	noteLeaseExpired: (runs: readonly Run[]) => void;
	/** To be called when the executor answers under the same id as before. */
	noteAnswer: () => void;
	/** To be called when the executor's process has ended; `runs` are those that it had until then. */
	noteProcessEnded: (runs: readonly Run[]) => void;
};

export function createCrashWatch(ports: CrashWatchPorts): CrashWatch {
	let expiredRuns: readonly Run[] = [];
	return {
		noteLeaseExpired(runs) {
			const suspects = pickSuspects(runs);
			expiredRuns = [...expiredRuns, ...suspects];
			if (suspects.length > 0 && !ports.isDraining()) {
				ports.onSilence(suspects);
			}
		},
		noteAnswer() {
			expiredRuns = [];
			ports.onNotCrashed();
		},
		noteProcessEnded(runs) {
			// A run that was kept when its lease expired is in both lists.
			const suspects = [...new Set([...expiredRuns, ...pickSuspects(runs)])];
			expiredRuns = [];
			if (ports.isDraining()) {
				ports.onNotCrashed();
			} else {
				ports.onCrash(suspects);
			}
		},
	};
}

function pickSuspects(runs: readonly Run[]): Run[] {
	return runs.filter(
		({stoppedAt, isRefused, isInherited}) =>
			stoppedAt === undefined && !isRefused && !isInherited,
	);
}
