/**
Finds and reads the INI files that a command names.
*/
import {readdir, stat} from 'node:fs/promises';
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {type Finding} from '@gentianshift/resources';
import {type DeclarationFile} from '@gentianshift/settings';
import {type Terminal} from './terminal.js';

/** Reads files, and the `*.ini` files right in directories; sorted, so that output is stable. */
export async function readFiles(
	paths: readonly string[],
	readText: Terminal['readText'],
): Promise<Result<DeclarationFile[], Finding[]>> {
	const files: DeclarationFile[] = [];
	const findings: Finding[] = [];
	for (const given of paths) {
		try {
			for (const file of await listFiles(given)) {
				files.push({file, text: await readText(file)});
			}
		} catch (error) {
			findings.push({
				code: 'unreadable',
				place: {file: given, path: []},
				message: (error as Error).message,
			});
		}
	}

	return findings.length > 0 ? err(findings) : ok(files);
}

async function listFiles(given: string): Promise<string[]> {
	const status = await stat(given);
	if (!status.isDirectory()) {
		return [given];
	}

	const names = await readdir(given);
	return names
		.filter((name) => name.endsWith('.ini'))
		.toSorted()
		.map((name) => path.join(given, name));
}
