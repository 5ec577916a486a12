/**
Findings: what a check found wrong, collected with their places and reported together.
*/
import {z} from 'zod';

/** Where a finding was made: a file with its line, or a path inside a document. */
export const placeSchema = z.object({
	file: z.string().optional(),
	/** Counted from 1. */
	line: z.number().int().optional(),
	/** Keys and indexes from the document's root. */
	path: z.array(z.union([z.string(), z.number()])).default([]),
});

/** One thing that is wrong: a stable code, its place, what was found and what is allowed. */
export const findingSchema = z.object({
	code: z.string(),
	place: placeSchema,
	message: z.string(),
});

export type Place = z.infer<typeof placeSchema>;
export type Finding = z.infer<typeof findingSchema>;

/** Turns a schema's issues into findings. */
export function toFindings(error: z.ZodError, file?: string): Finding[] {
	return error.issues.map((issue) => ({
		code: issue.code,
		place: {
			file,
			path: issue.path.map((part) =>
				typeof part === 'symbol' ? String(part) : part,
			),
		},
		message: issue.message,
	}));
}

/**
The one formatter of findings: a line each.

@example
formatFindings([{code: 'unknown-key', place: {file: 'a.ini', line: 3, path: ['log', 'lvl']}, message: 'unknown key'}]);
// 'a.ini:3: log.lvl: unknown key [unknown-key]'
*/
export function formatFindings(findings: readonly Finding[]): string {
	return findings.map((finding) => formatFinding(finding)).join('\n');
}

function formatFinding({code, place, message}: Finding): string {
	const file = place.file === undefined ? '' : `${place.file}:`;
	const line = place.line === undefined ? '' : `${place.line}:`;
	const path = place.path.length === 0 ? '' : `${place.path.join('.')}: `;
	const where = file === '' && line === '' ? '' : `${file}${line} `;
	return `${where}${path}${message} [${code}]`;
}
