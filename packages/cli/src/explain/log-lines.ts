/**
The lines that hosts log, read back.
*/
import {z} from 'zod';

const lineSchema = z.looseObject({
	time: z.iso.datetime(),
	host: z.string(),
	msg: z.string(),
	job: z.string().optional(),
});

export type LogLine = z.output<typeof lineSchema> & {
	/** Milliseconds since 1970. */
	at: number;
};

/**
Lines by time. What stands before the JSON of a line, such as a collector's own stamp, is passed over; lines without JSON of a
host are counted.

@example
readLogLines('12:01 m1 {"time":"2026-01-19T17:45:13.060Z","host":"m1","msg":"serving"}').lines.length; // 1
*/
export function readLogLines(text: string): {
	lines: LogLine[];
	unread: number;
} {
	const lines: LogLine[] = [];
	let unread = 0;
	for (const row of text.split('\n')) {
		const line = parseLine(row);
		if (line) {
			lines.push(line);
		} else {
			unread += Number(row.trim() !== '');
		}
	}

	return {lines: lines.toSorted((a, b) => a.at - b.at), unread};
}

function parseLine(row: string): LogLine | undefined {
	const start = row.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let value: unknown;
	try {
		value = JSON.parse(row.slice(start));
	} catch {
		return undefined;
	}

	const parsed = lineSchema.safeParse(value);
	return parsed.success
		? {...parsed.data, at: Date.parse(parsed.data.time)}
		: undefined;
}
