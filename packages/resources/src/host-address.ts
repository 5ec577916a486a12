/**
Addresses on the wire and in the settings: `ip:port` by IPv4.
*/
import {z} from 'zod';

const mostOctet = 255;
const mostPort = 65_535;

/**
@example
hostAddressSchema.safeParse('10.1.0.13:8161').success; // true
*/
export const hostAddressSchema = z
	.string()
	.regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/v, {
		error: 'allowed: IPV4:PORT',
		abort: true,
	})
	.refine((address) => {
		const [ip, port] = address.split(':');
		const octets = ip!.split('.').map(Number);
		const isPort = Number(port) > 0 && Number(port) <= mostPort;
		return isPort && octets.every((octet) => octet <= mostOctet);
	}, 'allowed: IPV4:PORT');
