/**
Checks one INI section by its schema. Every issue becomes a finding with file, line, key, what
was found and what is allowed.
*/
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type Finding} from '@gentianshift/resources';
import {type IniSection} from './ini-document.js';

/** A section as a schema: a strict object, alone or turned into another shape. */
export type SectionSchema = z.ZodObject | z.ZodPipe<z.ZodObject>;

/**
Reads a section; one that is missing is read as empty, so that each required key is reported.

@example
readSection('host.ini', {name: 'stop', line: 1, entries: []}, z.strictObject({})); // ok({})
*/
export function readSection<Schema extends SectionSchema>(
	file: string,
	section: IniSection,
	schema: Schema,
): Result<z.output<Schema>, Finding[]> {
	const values = Object.fromEntries(
		section.entries.map(({key, value}) => [key, value]),
	);
	const parsed = schema.safeParse(values);
	if (parsed.success) {
		return ok(parsed.data as z.output<Schema>);
	}

	const shape = getShape(schema);
	return err(
		parsed.error.issues.flatMap((issue) =>
			issue.code === 'unrecognized_keys'
				? describeUnknown(issue.keys, file, section, shape)
				: [describeIssue(issue, file, section, shape)],
		),
	);
}

function getShape(schema: SectionSchema): z.ZodRawShape {
	return schema instanceof z.ZodPipe ? schema.in.shape : schema.shape;
}

function describeUnknown(
	keys: string[],
	file: string,
	section: IniSection,
	shape: z.ZodRawShape,
): Finding[] {
	return keys.map((key) => ({
		code: 'unknown-key',
		place: makePlace(file, section, key),
		message: `found an unknown key; allowed: ${Object.keys(shape).join(', ')}`,
	}));
}

function describeIssue(
	issue: z.core.$ZodIssue,
	file: string,
	section: IniSection,
	shape: z.ZodRawShape,
): Finding {
	const key = String(issue.path[0]);
	const found = section.entries.find((entry) => entry.key === key);
	const allowed = getDescription(shape[key]) ?? issue.message;
	const custom = issue.code === 'custom' && issue.message !== 'Invalid input';
	return {
		code: found ? 'not-allowed' : 'missing-key',
		place: makePlace(file, section, key),
		message: `${found ? `found "${found.value}"` : 'missing'}; allowed: ${custom ? issue.message : allowed}`,
	};
}

function getDescription(schema: unknown): string | undefined {
	return schema instanceof z.ZodType ? findDescription(schema) : undefined;
}

/** The description of a field, or of the field that a default or an optional one wraps. */
function findDescription(schema: z.ZodType): string | undefined {
	const isWrapper =
		schema instanceof z.ZodOptional || schema instanceof z.ZodPrefault;
	return (
		schema.description ??
		(isWrapper ? getDescription(schema.unwrap()) : undefined)
	);
}

function makePlace(file: string, section: IniSection, key: string) {
	const entry = section.entries.find((candidate) => candidate.key === key);
	const line = entry?.line ?? (section.line > 0 ? section.line : undefined);
	return {file, line, path: [section.name, key]};
}
