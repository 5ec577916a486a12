/**
The platform's list of live and leaving hosts. It lags: who reads it adds what it sees itself.
*/
import {type ResultAsync} from 'neverthrow';
import {
	hostAddressSchema,
	ipAddressSchema,
	nameSchema,
} from '@gentianshift/resources';
import {z} from 'zod';
import {type PlatformFailure} from './failure.js';
import {createTransport, type TransportOptions} from './transport.js';

/** A host, as the platform lists it. */
export const hostEntrySchema = z.object({
	name: nameSchema,
	dataCentre: nameSchema,
	role: z.enum(['entry', 'worker']),
	/** An entry host: its inner address, `ip:port`; a worker: its `ip`. */
	address: z.union([hostAddressSchema, ipAddressSchema]),
	state: z.enum(['live', 'leaving']),
});

export const hostListSchema = z.object({hosts: z.array(hostEntrySchema)});

export type HostEntry = z.infer<typeof hostEntrySchema>;

export type HostList = {
	fetchHosts: () => ResultAsync<HostEntry[], PlatformFailure>;
	close: () => Promise<void>;
};

export function createHostList(options: TransportOptions): HostList {
	const transport = createTransport(options);
	return {
		fetchHosts: () =>
			transport
				.callJson({
					kind: 'hosts',
					effect: 'read',
					method: 'GET',
					path: '/hosts',
					schema: hostListSchema,
				})
				.map(({hosts}) => hosts),
		close: transport.close,
	};
}
