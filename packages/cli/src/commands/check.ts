/**
`check`: reports all findings of settings and declarations, and changes nothing.
*/
import {type Result} from 'neverthrow';
import {
	isPlatformSettings,
	readPlatformSettings,
} from '@gentianshift/platform-adapter/settings';
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

/**
Files with a `[host]` section are settings, and so are those in the format of the users' platform; all
others together are one set of declarations.
*/
export async function check(
	terminal: Terminal,
	paths: string[],
): Promise<ExitCode> {
	const files = await readFiles(paths, terminal.readText);
	if (files.isErr()) {
		terminal.writeError(formatFindings(files.error));
		return exitCodes.usage;
	}

	const platform = files.value.filter(({text}) => isPlatformSettings(text));
	const own = files.value.filter((one) => !platform.includes(one));
	const settings = own.filter(({text}) => isHostSettings(text));
	const declared = own.filter(({text}) => !isHostSettings(text));
	const findings: Finding[] = [
		...platform.flatMap(({file, text}) =>
			listFindings(readPlatformSettings(text, file)),
		),
		...settings.flatMap(({file, text}) =>
			listFindings(readHostSettings(text, file)),
		),
	];
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

function listFindings(result: Result<unknown, Finding[]>): Finding[] {
	return result.isErr() ? result.error : [];
}

function reportWarnings({writeError}: Terminal, warnings: Finding[]): void {
	for (const warning of warnings) {
		writeError(`warning: ${formatFindings([warning])}`);
	}
}
