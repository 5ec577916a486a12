/**
Addresses on the wire and in the settings, by IPv4.

An octet with a leading zero is decimal to some readers and octal to others, which would connect to another machine. So
only the canonical form is an address.
*/
import {isIPv4} from 'node:net';
import {z} from 'zod';

const mostPort = 65_535;

/**
Whether the text is `ip:port`, with a port that can be connected to.

@example
isHostAddress('10.1.0.13:8161'); // true
isHostAddress('10.1.0.013:8161'); // false
*/
export function isHostAddress(text: string): boolean {
	const match = /^([\d.]+):(\d{1,5})$/v.exec(text);
	const port = Number(match?.[2]);
	return isIPv4(match?.[1] ?? '') && port > 0 && port <= mostPort;
}

/** An IPv4 address without a port. */
export const ipAddressSchema = z
	.string()
	.refine((text) => isIPv4(text), 'allowed: an IPv4 address');

/**
@example
hostAddressSchema.safeParse('10.1.0.13:8161').success; // true
*/
export const hostAddressSchema = z
	.string()
	.refine((text) => isHostAddress(text), 'allowed: IPV4:PORT');
