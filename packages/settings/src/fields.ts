/**
Schemas of single values as they are written in INI: each turns text into its value and
describes what is allowed, which findings repeat.
*/
import {isIPv4} from 'node:net';
import {z} from 'zod';
import {isHostAddress, nameSchema} from '@gentianshift/resources';
import {formatDuration, parseDuration, parseWithUnit} from './duration.js';

/** Bytes in each unit of a size. */
const sizeUnits: Record<string, number> = {
	B: 1,
	KiB: 1024,
	MiB: 1024 ** 2,
	GiB: 1024 ** 3,
};

const highestPort = 65_535;

type Range = {min: number; max: number};

/** A duration like `200ms`, `30s`, `5m` or `1h`, read as milliseconds. */
export function defineDuration({min, max}: Range) {
	return defineNumber(
		(text) => parseDuration(text),
		{min, max},
		`a duration from ${formatDuration(min)} to ${formatDuration(max)}, like 200ms, 30s or 5m`,
	);
}

/** A size like `512KiB` or `16MiB`, read as bytes. */
export function defineSize({min, max}: Range) {
	return defineNumber(
		(text) => parseWithUnit(text, sizeUnits),
		{min, max},
		`a size from ${min}B to ${max / sizeUnits.MiB!}MiB, like 512KiB or 16MiB`,
	);
}

/** A whole number without unit. */
export function defineCount({min, max}: Range) {
	return defineNumber(
		(text) => (/^\d+$/v.test(text) ? Number(text) : Number.NaN),
		{min, max},
		`a whole number from ${min} to ${max}`,
	);
}

/** A number that may have a fraction. */
export function defineRatio({min, max}: Range) {
	return defineNumber(
		(text) => (/^\d+(?:\.\d+)?$/v.test(text) ? Number(text) : Number.NaN),
		{min, max},
		`a number from ${min} to ${max}`,
	);
}

/** One of a few words. */
export function defineWord<const Words extends readonly string[]>(
	words: Words,
) {
	return z.enum(words).describe(`one of ${words.join(', ')}`);
}

/** `true` or `false`. */
export function defineFlag() {
	return z
		.enum(['true', 'false'])
		.transform((text) => text === 'true')
		.describe('true or false');
}

export function defineName() {
	return nameSchema.describe(
		'a name of 1 to 63 of a-z, 0-9 and "-", not "-" first',
	);
}

/** An IPv4 address and a port. */
export function defineAddress() {
	return z
		.string()
		.refine((text) => isHostAddress(text))
		.describe(`IPV4:PORT with a port from 1 to ${highestPort}`);
}

/** Addresses separated by commas; none is allowed. */
export function defineAddresses() {
	return z
		.string()
		.transform((text) => splitList(text))
		.refine((addresses) => addresses.every((address) => isHostAddress(address)))
		.describe('IPV4:PORT, separated by commas');
}

export function defineIpAddress() {
	return z
		.string()
		.refine((text) => isIPv4(text))
		.describe('an IPv4 address');
}

export function defineUrl() {
	return z
		.url({protocol: /^https?$/v})
		.describe('a URL that begins with http:// or https://');
}

/** Text held to a pattern. */
export function definePattern(pattern: RegExp, allowed: string) {
	return z.string().regex(pattern).describe(allowed);
}

function defineNumber(
	read: (text: string) => number,
	{min, max}: Range,
	allowed: string,
) {
	return z
		.string()
		.transform((text) => read(text))
		.refine((value) => value >= min && value <= max)
		.describe(allowed);
}

function splitList(text: string): string[] {
	return text
		.split(',')
		.map((part) => part.trim())
		.filter((part) => part !== '');
}
