/**
Reads the tasks of a job from NDJSON: a JSON value a line, empty lines passed over.
*/
import {err, ok, type Result} from 'neverthrow';
import {type Finding, maxTasksPerJob} from '@gentianshift/resources';

/** Parses tasks; an error holds all findings at once. */
export function parseTasks(
	text: string,
	file: string,
): Result<unknown[], Finding[]> {
	const tasks: unknown[] = [];
	const findings: Finding[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}

		try {
			tasks.push(JSON.parse(line));
		} catch (error) {
			findings.push({
				code: 'malformed-json',
				place: {file, line: index + 1, path: []},
				message: (error as Error).message,
			});
		}
	}

	if (tasks.length + findings.length === 0 || tasks.length > maxTasksPerJob) {
		findings.push({
			code: 'task-count',
			place: {file, path: []},
			message: `found ${tasks.length} tasks; allowed: 1 to ${maxTasksPerJob}`,
		});
	}

	return findings.length > 0 ? err(findings) : ok(tasks);
}
