/**
What callers ask of a host, by the callers' client.
*/
import {randomBytes} from 'node:crypto';
import {type Result} from 'neverthrow';
import {z} from 'zod';
import {createClient, type Client} from '@gentianshift/client';
import {type JobAnswer} from '@gentianshift/resources';
import {sendRequest} from './http.js';
import {type Failure, readReply} from './replies.js';

const randomBytesOfId = 16;

/**
Makes a new job id under an issuer that a host hands out. Made here, not by the client, so that
the user is told the id before anything is sent and can ask for the job whatever happens.
*/
export async function createJobId(
	hosts: readonly string[],
): Promise<Result<string, Failure>> {
	const reply = await sendRequest(hosts, {method: 'GET', path: '/v1/issuer'});
	return reply
		.andThen((answer) => readReply(answer, z.object({issuer: z.string()})))
		.map(({issuer}) => {
			const random = randomBytes(randomBytesOfId).toString('hex');
			return `${issuer}.${random}`;
		});
}

/** The callers' client; questions about a job by its id need no team. */
export function createJobClient(
	hosts: readonly string[],
	{team = '', retries = 0}: {team?: string; retries?: number} = {},
): Client {
	return createClient({hosts: [...hosts], team, retries});
}

export function hasEnded({state}: JobAnswer): boolean {
	return state !== 'queued' && state !== 'running';
}
