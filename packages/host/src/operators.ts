/**
The operators' side of a host: resources with their live status, changes, watches.
*/
import {err, ok, type Result} from 'neverthrow';
import {
	type ChangeProblem,
	type ChangeRequest,
	type OperatorPort,
	type ResourceEvent,
	type ResourceView,
} from '@gentianshift/api';
import {type ResourceTable} from '@gentianshift/configuration';
import {
	type ChangeFailure,
	type ResourceStore,
} from '@gentianshift/resource-store';
import {
	type Kind,
	type Resource,
	type ResourceKey,
} from '@gentianshift/resources';
import {type HostStatus} from './status-board.js';
import {waitFor} from './timers.js';

/** How often a watch looks for changed status. */
const statusEveryMs = 500;

export type OperatorOptions = {
	table: ResourceTable;
	store: ResourceStore;
	/** Last status of each host, this one included, by host key. */
	listStatus: () => ReadonlyMap<string, HostStatus>;
	listHosts: () => unknown[];
	/** Aborted when this host stops: watches are told to reconnect elsewhere. */
	stopping: AbortSignal;
};

export function createOperatorPort(options: OperatorOptions): OperatorPort {
	const {table, store} = options;
	const view = (resource: Resource): ResourceView => ({
		resource,
		status: describeStatus(resource, options),
	});
	return {
		listResources: (kind) => table.list(kind).map((resource) => view(resource)),
		getResource(kind, name) {
			const resource = table.get({kind, name});
			return resource && view(resource);
		},
		changeResource: async (request) => changeResource(request, options),
		async findChange(kind, name, changeId) {
			return store.findChange({kind, name}, changeId).mapErr((failure) =>
				createChangeProblem('platform-down', 503, failure.message, {
					retryAfterMs: 2000,
				}),
			);
		},
		watchResources: (kind, name, signal) =>
			watchResources({kind, name, signal, view}, options),
		listHosts: options.listHosts,
	};
}

/** "Accepted" is said only once the commit is known; it is in force on this host then. */
async function changeResource(
	{kind, name, spec, expectRevision, changeId}: ChangeRequest,
	{table, store}: OperatorOptions,
): Promise<Result<Resource, ChangeProblem>> {
	const changed = await store.changeResource({
		kind,
		name,
		spec,
		expectRevision,
		changeId,
	});
	if (changed.isErr()) {
		return err(describeFailure(changed.error, changeId));
	}

	table.apply(changed.value);
	return ok(changed.value);
}

function describeFailure(
	failure: ChangeFailure,
	changeId: string,
): ChangeProblem {
	switch (failure.code) {
		case 'conflict': {
			const detail = `another change came first; revision ${failure.revision} is in force`;
			return createChangeProblem('conflict', 409, detail, {
				revision: failure.revision,
			});
		}

		case 'unknown-outcome': {
			const detail =
				'the change may be in force or still come into force; ask about its change id';
			return createChangeProblem('unknown-outcome', 504, detail, {
				changeId,
				retryAfterMs: 2000,
			});
		}

		case 'unavailable': {
			const detail = "the platform's service is down; nothing was changed";
			return createChangeProblem('platform-down', 503, detail, {
				retryAfterMs: failure.retryAfterMs,
			});
		}

		case 'rejected': {
			return createChangeProblem('rejected', 502, failure.message);
		}
	}
}

function createChangeProblem(
	code: string,
	status: number,
	detail: string,
	more: Partial<ChangeProblem> = {},
): ChangeProblem {
	const title = 'The change was not accepted';
	return {
		type: 'about:blank',
		title,
		status,
		detail,
		code,
		ran: 'none',
		...more,
	};
}

/** Revision in force at each host, and for targets the slots as their keepers see them. */
function describeStatus(
	{kind, name}: ResourceKey,
	{listStatus}: OperatorOptions,
): Record<string, unknown> {
	const hosts: Record<string, number> = {};
	const keepers: Record<string, unknown> = {};
	for (const [key, status] of listStatus()) {
		hosts[key] = status.revision;
		for (const {target, ...keeper} of status.keepers) {
			if (kind === 'targets' && target === name) {
				keepers[key] = keeper;
			}
		}
	}

	return kind === 'targets' ? {revisions: hosts, keepers} : {revisions: hosts};
}

type Watch = {
	kind: Kind;
	name: string | undefined;
	signal: AbortSignal;
	view: (resource: Resource) => ResourceView;
};

async function* watchResources(
	{kind, name, signal, view}: Watch,
	{table, stopping}: OperatorOptions,
): AsyncGenerator<ResourceEvent> {
	const isWatched = (resource: Resource) =>
		resource.kind === kind && (name === undefined || resource.name === name);
	const changed = new Map<string, Resource>();
	const ended = AbortSignal.any([signal, stopping]);
	let wake = new AbortController();
	const unsubscribe = table.subscribe((resource) => {
		if (isWatched(resource)) {
			changed.set(resource.name, resource);
			wake.abort();
		}
	});
	const told = new Map<string, string>();
	try {
		for (const resource of table.list(kind)) {
			if (isWatched(resource)) {
				changed.set(resource.name, resource);
			}
		}

		while (!ended.aborted) {
			yield* listSpecEvents(changed, view);
			yield* listStatusEvents(
				table.list(kind).filter((resource) => isWatched(resource)),
				{told, view},
			);
			wake = new AbortController();
			if (changed.size === 0) {
				await waitFor(statusEveryMs, AbortSignal.any([ended, wake.signal]));
			}
		}

		if (stopping.aborted) {
			yield {type: 'reconnect'};
		}
	} finally {
		unsubscribe();
	}
}

function* listSpecEvents(
	changed: Map<string, Resource>,
	view: (resource: Resource) => ResourceView,
): Generator<ResourceEvent> {
	const resources = [...changed.values()];
	changed.clear();
	for (const resource of resources) {
		yield {
			type: resource.spec === null ? 'deleted' : 'spec',
			view: view(resource),
		};
	}
}

function* listStatusEvents(
	resources: readonly Resource[],
	{
		told,
		view,
	}: {told: Map<string, string>; view: (resource: Resource) => ResourceView},
): Generator<ResourceEvent> {
	for (const resource of resources) {
		const now = view(resource);
		const text = JSON.stringify(now.status);
		if (told.get(resource.name) !== text) {
			told.set(resource.name, text);
			yield {type: 'status', view: now};
		}
	}
}
