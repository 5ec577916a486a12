/**
What operators ask of a host: read, change and watch resources.
*/
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result, safeTry} from 'neverthrow';
import {z} from 'zod';
import {type Kind} from '@gentianshift/resources';
import {sendRequest} from './http.js';
import {
	type Failure,
	isProblem,
	readReply,
	type View,
	viewListSchema,
	viewSchema,
} from './replies.js';

export type Change = {
	kind: Kind;
	name: string;
	/** Null deletes. */
	spec: unknown;
	/** The revision the change was worked out from; 0 for one that must be absent. */
	expectRevision: number;
};

/** `replaced`: it took effect, and a later change has taken its place already. */
export type ChangeOutcome = 'in-force' | 'replaced';

/** A change that has no sure outcome, with the id to ask about it later. */
export type ChangeFailure = {failure: Failure; changeId: string};

const changeStateSchema = z.object({
	state: z.enum(['in-force', 'replaced', 'not-found']),
});

/** How often and how long an unknown outcome is asked about before it is told as such. */
const findAttempts = 10;
const findPauseMs = 500;

export async function listResources(
	hosts: readonly string[],
	kind: Kind,
): Promise<Result<View[], Failure>> {
	const reply = await sendRequest(hosts, {method: 'GET', path: `/v1/${kind}`});
	return reply
		.andThen((answer) => readReply(answer, viewListSchema))
		.map(({items}) => items);
}

/** Reads one resource; undefined where there is none. */
export async function getResource(
	hosts: readonly string[],
	kind: Kind,
	name: string,
): Promise<Result<View | undefined, Failure>> {
	const reply = await sendRequest(hosts, {
		method: 'GET',
		path: `/v1/${kind}/${name}`,
	});
	return reply.andThen<View | undefined, Failure>((answer) =>
		answer.status === 404 ? ok(undefined) : readReply(answer, viewSchema),
	);
}

/**
Changes a resource where it still stands at the expected revision. An unknown outcome is asked
about by the change's id, never sent again: sent again, it could undo what another operator
has changed in between.
*/
export async function changeResource(
	hosts: readonly string[],
	change: Change,
	tell: (line: string) => void,
): Promise<Result<ChangeOutcome, ChangeFailure>> {
	const changeId = randomBytes(16).toString('hex');
	const reply = await sendRequest(hosts, makeChangeRequest(change, changeId));
	const outcome = reply.andThen((answer) => readReply(answer, z.unknown()));
	if (outcome.isOk()) {
		return ok('in-force');
	}

	if (!isUnknown(outcome.error)) {
		return err({failure: outcome.error, changeId});
	}

	tell(
		`${change.kind}/${change.name}: outcome unknown, asking for change ${changeId}`,
	);
	return findChange(hosts, change, {changeId, failure: outcome.error});
}

function makeChangeRequest(
	{kind, name, spec, expectRevision}: Change,
	changeId: string,
) {
	const path = `/v1/${kind}/${name}`;
	return spec === null
		? ({
				method: 'DELETE',
				path: `${path}?resourceVersion=${expectRevision}&changeId=${changeId}`,
			} as const)
		: ({
				method: 'PUT',
				path,
				body: {spec, resourceVersion: expectRevision, changeId},
			} as const);
}

/** Whether the change may have been committed though no one said so. */
function isUnknown(failure: Failure): boolean {
	return isProblem(failure)
		? failure.code === 'unknown-outcome'
		: failure.code === 'lost';
}

async function findChange(
	hosts: readonly string[],
	{kind, name}: Change,
	unknown: ChangeFailure,
): Promise<Result<ChangeOutcome, ChangeFailure>> {
	const path = `/v1/${kind}/${name}/changes/${unknown.changeId}`;
	for (let attempt = 0; attempt < findAttempts; attempt++) {
		const reply = await sendRequest(hosts, {method: 'GET', path});
		const found = reply
			.andThen((answer) => readReply(answer, changeStateSchema))
			.map(({state}) => state);
		if (found.isOk() && found.value !== 'not-found') {
			return ok(found.value);
		}

		await delay(findPauseMs);
	}

	return err(unknown);
}

/** Changes the spec that is in force by a function; the function's undefined leaves it as is. */
export async function updateResource(
	hosts: readonly string[],
	{kind, name}: Pick<Change, 'kind' | 'name'>,
	update: (spec: unknown) => unknown,
	tell: (line: string) => void,
): Promise<Result<ChangeOutcome | 'unchanged' | 'absent', ChangeFailure>> {
	return safeTry(async function* () {
		const found = await getResource(hosts, kind, name);
		const view = yield* found.mapErr((failure) => ({failure, changeId: ''}));
		if (view === undefined || view.resource.spec === null) {
			return ok('absent' as const);
		}

		const spec = update(view.resource.spec);
		if (spec === undefined) {
			return ok('unchanged' as const);
		}

		const expectRevision = view.resource.revision;
		return changeResource(hosts, {kind, name, spec, expectRevision}, tell);
	});
}
