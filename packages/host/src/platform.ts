/**
This host's clients of the platform: the key-value service, the resources in it, the host list.
*/
import {
	createHostList,
	createKeyValue,
	createResourceStore,
	type HostList,
	type KeyValue,
	type ResourceStore,
} from '@gentianshift/resource-store';
import {type HostSettings} from '@gentianshift/settings';
import {waitFor} from './timers.js';

/** Limit on one call, milliseconds: the platform answers in a few when it works. */
const timeoutMs = 1500;

export type Platform = {
	keyValue: KeyValue;
	hostList: HostList;
	store: ResourceStore;
	close: () => Promise<void>;
};

/** `onCall` counts each call by its kind: the service is small, and every call is paid for. */
export function createPlatform(
	{
		platform: {keyValue: keyValueUrl, hostList: hostListUrl, prefix},
		addresses: {source},
	}: HostSettings,
	onCall: (kind: string) => void,
): Platform {
	const common = {timeoutMs, source, onCall};
	const keyValue = createKeyValue({url: keyValueUrl, ...common});
	const hostList = createHostList({url: hostListUrl, ...common});
	const store = createResourceStore({
		keyValue,
		prefix: `${prefix}resources/`,
		delay: waitFor,
	});
	return {
		keyValue,
		hostList,
		store,
		async close() {
			await Promise.all([keyValue.close(), hostList.close()]);
		},
	};
}
