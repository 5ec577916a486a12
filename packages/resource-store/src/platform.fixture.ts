/**
Fixtures of the platform's tests: a stand-in with what the tests need on top of it.
*/
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {startPlatform} from '@gentianshift/standins';
import {type ResultAsync} from 'neverthrow';
import {type Change} from './change.js';
import {createKeyValue} from './key-value.js';
import {createResourceStore} from './resource-store.js';

export const prefix = 'gentianshift/resources/';

/** A running stand-in of one data centre with a client and a store; `stop` ends all. */
export async function buildPlatform({timeoutMs = 400} = {}) {
	const platform = await startPlatform({ports: {mieres: 0}, progressMs: 50});
	const calls: string[] = [];
	const url = platform.urls.mieres!;
	const keyValue = createKeyValue({
		url,
		timeoutMs,
		watchSilenceMs: 500,
		onCall(kind) {
			calls.push(kind);
		},
	});
	const store = createResourceStore({
		keyValue,
		prefix,
		delay: async (ms) => delay(ms),
	});
	return {
		platform,
		url,
		keyValue,
		store,
		calls,
		async stop() {
			await keyValue.close();
			platform.stop();
		},
	};
}

/** A change of one team; `spec` null deletes it. */
export function buildChange(
	changeId: string,
	{spec = {weight: 1}, expectRevision}: Partial<Change> = {},
): Change {
	return {kind: 'teams', name: 'kitchen', spec, expectRevision, changeId};
}

/** The value of a result that must be ok. */
export async function unwrap<T, E>(result: ResultAsync<T, E>): Promise<T> {
	const settled = await result;
	return settled._unsafeUnwrap();
}

export function encode(text: string): string {
	return Buffer.from(text).toString('base64');
}
