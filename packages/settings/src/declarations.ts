/**
Operators' declarations: INI files with services, teams, targets and their executors.

Executors are folded into their target, which must be declared in the same set of files. A
service may name a target that isn't: it may stand at the platform already, so that is only
a warning here (`listUndeclaredTargets`); `apply`, which can ask, makes it a finding.
*/
import {err, ok, type Result} from 'neverthrow';
import {
	type Executor,
	type Finding,
	formatKey,
	type Kind,
	nameSchema,
	type Place,
	type SpecOf,
	specSchemas,
} from '@gentianshift/resources';
import {
	declarationSections,
	type DeclarationWord,
} from './declaration-sections.js';
import {type IniSection, parseIni} from './ini-document.js';
import {readSection} from './section.js';

/** One file's name and text. */
export type DeclarationFile = {file: string; text: string};

/** One resource as declared, with the place of its section. */
export type Declaration = {
	[K in Kind]: {kind: K; name: string; spec: SpecOf[K]; place: Place};
}[Kind];

type FoundExecutor = {target: string; executor: Executor; place: Place};

/** A section with its name and place. */
type Title = {name: string; section: IniSection; place: Place};

type ResourceWord = Exclude<DeclarationWord, 'executor'>;

type Found = {
	declarations: Declaration[];
	executors: FoundExecutor[];
	findings: Finding[];
	/** Where each `[word name]` stood first, over all files. */
	places: Map<string, Place>;
};

/**
Reads declarations from several files; an error holds all findings at once.

@example
readDeclarations([{file: 'teams.ini', text: '[team cooks]\nweight = 2\n'}]);
// ok([{kind: 'teams', name: 'cooks', spec: {weight: 2}, place: {...}}])
*/
export function readDeclarations(
	files: readonly DeclarationFile[],
): Result<Declaration[], Finding[]> {
	const found: Found = {
		declarations: [],
		executors: [],
		findings: [],
		places: new Map(),
	};
	for (const {file, text} of files) {
		const document = parseIni(text, file);
		found.findings.push(...document.findings);
		for (const section of document.sections) {
			readDeclaration(found, file, section);
		}
	}

	for (const executor of found.executors) {
		addToTarget(found, executor);
	}

	found.findings.push(...findSharedAddresses(found.executors));

	return found.findings.length > 0
		? err(found.findings)
		: ok(found.declarations);
}

/** Warnings: services whose target is not among the declarations. */
export function listUndeclaredTargets(
	declarations: readonly Declaration[],
): Finding[] {
	const targets = new Set(
		declarations.filter(({kind}) => kind === 'targets').map(({name}) => name),
	);
	return declarations.flatMap((declaration) =>
		declaration.kind === 'services' && !targets.has(declaration.spec.target)
			? [describeUndeclared(declaration.spec.target, declaration.place)]
			: [],
	);
}

function describeUndeclared(target: string, place: Place): Finding {
	return {
		code: 'undeclared-target',
		place: {...place, path: [...place.path, 'target']},
		message: `found "${target}"; allowed: a target of these files, or one that is in force already`,
	};
}

function readDeclaration(found: Found, file: string, section: IniSection) {
	const place: Place = {file, line: section.line, path: [section.name]};
	const [word = '', name = '', ...rest] = section.name.split(/\s+/v);
	if (!isDeclarationWord(word) || rest.length > 0) {
		found.findings.push({
			code: 'unknown-section',
			place,
			message: `found [${section.name}]; allowed: [${Object.keys(declarationSections).join(' NAME], [')} NAME]`,
		});
		return;
	}

	checkName(found, name, place);
	checkOnce(found, section.name, place);
	if (word === 'executor') {
		addExecutor(found, {name, section, place});
	} else {
		addResource(found, word, {name, section, place});
	}
}

function isDeclarationWord(word: string): word is DeclarationWord {
	return Object.hasOwn(declarationSections, word);
}

function checkName({findings}: Found, name: string, place: Place): void {
	if (!nameSchema.safeParse(name).success) {
		findings.push({
			code: 'not-allowed',
			place,
			message: `found the name "${name}"; allowed: 1 to 63 of a-z, 0-9 and "-", not "-" first`,
		});
	}
}

/** Within one file the document has told already. */
function checkOnce(found: Found, title: string, place: Place): void {
	const earlier = found.places.get(title);
	if (earlier && earlier.file !== place.file) {
		found.findings.push({
			code: 'duplicate-section',
			place,
			message: `found [${title}] again (first in ${earlier.file}:${earlier.line}); allowed: once`,
		});
	}

	found.places.set(title, earlier ?? place);
}

function addExecutor(found: Found, {name, section, place}: Title): void {
	const {schema} = declarationSections.executor;
	const values = readSection(place.file!, section, schema);
	if (values.isErr()) {
		found.findings.push(...values.error);
		return;
	}

	const {target, ...fields} = values.value;
	found.executors.push({target, executor: {name, ...fields}, place});
}

function addResource(
	found: Found,
	word: ResourceWord,
	{name, section, place}: Title,
): void {
	const {kind, schema} = declarationSections[word];
	const values = readSection(place.file!, section, schema);
	if (values.isErr()) {
		found.findings.push(...values.error);
		return;
	}

	// The sections allow nothing that the resources' own schemas forbid: these add the defaults.
	const spec = specSchemas[kind].parse(values.value);
	found.declarations.push({kind, name, spec, place} as Declaration);
}

function addToTarget(found: Found, {target, executor, place}: FoundExecutor) {
	const key = formatKey({kind: 'targets', name: target});
	const holder = found.declarations.find(
		(declaration) => formatKey(declaration) === key,
	);
	if (holder?.kind === 'targets') {
		holder.spec.executors.push(executor);
		return;
	}

	// A target whose own section has findings is known, though it was not read.
	if (!found.places.has(`target ${target}`)) {
		found.findings.push({
			code: 'undeclared-target',
			place: {...place, path: [...place.path, 'target']},
			message: `found "${target}"; allowed: a target declared in these files`,
		});
	}
}

/**
One process declared twice would be lent twice its slots. Its operator would see it refuse
tasks that it has no room for.
*/
function findSharedAddresses(executors: readonly FoundExecutor[]): Finding[] {
	const firsts = new Map<string, Place>();
	return executors.flatMap(({executor: {address}, place}) => {
		const first = firsts.get(address);
		if (first === undefined) {
			firsts.set(address, place);
			return [];
		}

		return [
			{
				code: 'duplicate-address',
				place: {...place, path: [...place.path, 'address']},
				message: `found ${address} again (first in ${first.file}:${first.line}); allowed: one executor an address`,
			},
		];
	});
}
