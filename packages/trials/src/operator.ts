/**
An operator of a trial: changes teams at a host and keeps what it was told.
*/
import {request} from 'undici';

export type ChangeReply = {
	status: number;
	/** Revision of the accepted change, or the one in force of a conflict. */
	revision?: number;
	changeId?: string;
	code?: string;
	tookMs: number;
};

type ChangeOptions = {
	resourceVersion?: number;
	changeId?: string;
};

/** Longer than any answer may take, milliseconds. */
const callLimitMs = 20_000;

export async function putTeam(
	url: string,
	name: string,
	weight: number,
	options: ChangeOptions = {},
): Promise<ChangeReply> {
	const body = JSON.stringify({spec: {weight}, ...options});
	return changeTeam(`${url}/v1/teams/${name}`, 'PUT', body);
}

export async function deleteTeam(
	url: string,
	name: string,
): Promise<ChangeReply> {
	return changeTeam(`${url}/v1/teams/${name}`, 'DELETE');
}

/** What a host says of a change: `in-force`, `replaced` or `not-found`. */
export async function findChange(
	url: string,
	name: string,
	changeId: string,
): Promise<string | undefined> {
	const response = await request(`${url}/v1/teams/${name}/changes/${changeId}`);
	const {state} = (await response.body.json()) as {state?: string};
	return state;
}

async function changeTeam(
	url: string,
	method: 'PUT' | 'DELETE',
	body?: string,
): Promise<ChangeReply> {
	const begin = performance.now();
	const response = await request(url, {
		method,
		headers: {'content-type': 'application/json'},
		body,
		signal: AbortSignal.timeout(callLimitMs),
	});
	const answer = (await response.body.json()) as {
		resource?: {revision: number};
		revision?: number;
		changeId?: string;
		code?: string;
	};
	return {
		status: response.statusCode,
		revision: answer.resource?.revision ?? answer.revision,
		changeId: answer.changeId,
		code: answer.code,
		tookMs: performance.now() - begin,
	};
}
