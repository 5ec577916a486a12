/**
The one program of every entry host. Placeholder of its interface: the host itself is landed apart.
*/
import {type HostSettings} from '@gentianshift/settings';

export type RunningHost = {
	/** Ends a planned stop: resolves when nothing is in flight or the settings' limit has passed. */
	stop: () => Promise<void>;
};

/** Starts the host; rejects where it cannot listen on its addresses. */
export async function startHost(settings: HostSettings): Promise<RunningHost> {
	throw new Error(`host ${settings.host.name}: not built yet`);
}
