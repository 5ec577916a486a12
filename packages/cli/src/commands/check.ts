/**
`check`: reports all findings of settings and declarations, and changes nothing.
*/
import {type Finding, formatFindings} from '@gentianshift/resources';
import {
	isHostSettings,
	listUndeclaredTargets,
	readDeclarations,
	readHostSettings,
} from '@gentianshift/settings';
import {readFiles} from '../declaration-files.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type Terminal} from '../terminal.js';

/** Files with a `[host]` section are settings; all others together are one set of declarations. */
export async function check(
	terminal: Terminal,
	paths: string[],
): Promise<ExitCode> {
	const files = await readFiles(paths, terminal.readText);
	if (files.isErr()) {
		terminal.writeError(formatFindings(files.error));
		return exitCodes.usage;
	}

	const settings = files.value.filter(({text}) => isHostSettings(text));
	const declared = files.value.filter(({text}) => !isHostSettings(text));
	const findings: Finding[] = settings.flatMap(({file, text}) =>
		readHostSettings(text, file).match(
			() => [],
			(found) => found,
		),
	);
	const declarations = readDeclarations(declared);
	if (declarations.isOk()) {
		reportWarnings(terminal, listUndeclaredTargets(declarations.value));
	} else {
		findings.push(...declarations.error);
	}

	if (findings.length > 0) {
		terminal.writeError(formatFindings(findings));
		return exitCodes.usage;
	}

	terminal.writeOut(`${files.value.length} files: no findings`);
	return exitCodes.ok;
}

function reportWarnings({writeError}: Terminal, warnings: Finding[]): void {
	for (const warning of warnings) {
		writeError(`warning: ${formatFindings([warning])}`);
	}
}
