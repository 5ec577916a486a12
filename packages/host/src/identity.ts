/**
Who this process is: its host's name and an incarnation made anew at each start.
*/
import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {formatHostKey} from '@gentianshift/protocol';
import {type HostSettings} from '@gentianshift/settings';

export type Identity = {
	dataCentre: string;
	host: string;
	/** 16 hexadecimal digits. */
	incarnation: string;
	/** `<data centre>_<host>`. */
	key: string;
	/** `<key>.<incarnation>`. */
	ownerId: string;
};

export function createIdentity({host}: Pick<HostSettings, 'host'>): Identity {
	const incarnation = randomBytes(8).toString('hex');
	const key = formatHostKey({dataCentre: host.dataCentre, host: host.name});
	return {
		dataCentre: host.dataCentre,
		host: host.name,
		incarnation,
		key,
		ownerId: `${key}.${incarnation}`,
	};
}

/** Monotonic milliseconds; goes on while the process is stopped by a signal. */
export function readNow(): number {
	return performance.now();
}

const wallOffset = Date.now() - performance.now();

/** Unix milliseconds carried on by the monotonic clock, so that they never step. */
export function readWallNow(): number {
	return wallOffset + performance.now();
}
