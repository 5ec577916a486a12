/**
The differences between two specs, field by field, as `apply` prints them.
*/
import {isDeepStrictEqual} from 'node:util';

/**
Lists the fields that differ. List items that have a name are matched by it, so that one
executor inserted does not show as a change of all that follow.

@example
listDifferences({weight: 1}, {weight: 2}); // ['weight: 1 -> 2']
*/
export function listDifferences(
	before: unknown,
	after: unknown,
	path = '',
): string[] {
	if (isDeepStrictEqual(before, after)) {
		return [];
	}

	const [old, fresh] = [toFields(before), toFields(after)];
	if (old === undefined || fresh === undefined) {
		return [`${path}: ${formatValue(before)} -> ${formatValue(after)}`];
	}

	const keys = new Set([...old.keys(), ...fresh.keys()]);
	return [...keys].flatMap((key) =>
		listDifferences(
			old.get(key),
			fresh.get(key),
			path === '' ? key : `${path}.${key}`,
		),
	);
}

function toFields(value: unknown): Map<string, unknown> | undefined {
	if (Array.isArray(value)) {
		return new Map(
			value.map((item: unknown, index) => [getName(item) ?? `${index}`, item]),
		);
	}

	return typeof value === 'object' && value !== null
		? new Map(Object.entries(value))
		: undefined;
}

function getName(item: unknown): string | undefined {
	const name = (item as {name?: unknown} | null)?.name;
	return typeof name === 'string' ? name : undefined;
}

function formatValue(value: unknown): string {
	return value === undefined ? 'none' : JSON.stringify(value);
}
