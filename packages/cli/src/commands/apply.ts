/**
`apply`: brings the platform to what the files declare. All findings come first; then the
differences; then one change after another, each made only if nobody changed it in between.
What is in force but not declared stays.
*/
import {err, ok, type Result} from 'neverthrow';
import {
	type Finding,
	formatFindings,
	formatKey,
	specSchemas,
} from '@gentianshift/resources';
import {
	type Declaration,
	listUndeclaredTargets,
	readDeclarations,
} from '@gentianshift/settings';
import {readFiles} from '../declaration-files.js';
import {listDifferences} from '../diff.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type HostOptions} from '../host-options.js';
import {changeResource, getResource, listResources} from '../operator.js';
import {type Failure, type View} from '../replies.js';
import {reportChangeFailure, reportFailure} from '../report.js';
import {type Terminal} from '../terminal.js';

export type ApplyOptions = HostOptions & {file: string[]; dryRun?: boolean};

type Step = {
	declaration: Declaration;
	action: 'create' | 'change' | 'keep';
	revision: number;
	differences: string[];
};

/** Services come last, so that no host sees one before its target. */
const order = {targets: 0, teams: 1, services: 2} as const;

export async function apply(
	terminal: Terminal,
	options: ApplyOptions,
): Promise<ExitCode> {
	const read = await readFiles(options.file, terminal.readText);
	const declarations = read.andThen((files) => readDeclarations(files));
	if (declarations.isErr()) {
		terminal.writeError(formatFindings(declarations.error));
		return exitCodes.usage;
	}

	const missing = await findMissingTargets(options.host, declarations.value);
	if (missing.isErr()) {
		return reportFailure(terminal, missing.error);
	}

	if (missing.value.length > 0) {
		terminal.writeError(formatFindings(missing.value));
		return exitCodes.usage;
	}

	const plan = await makePlan(options.host, declarations.value);
	if (plan.isErr()) {
		return reportFailure(terminal, plan.error);
	}

	return options.dryRun
		? showPlan(terminal, plan.value, options)
		: runPlan(terminal, plan.value, options);
}

/** Targets that services name, and that are neither declared nor in force. */
async function findMissingTargets(
	hosts: string[],
	declarations: Declaration[],
): Promise<Result<Finding[], Failure>> {
	const warnings = listUndeclaredTargets(declarations);
	if (warnings.length === 0) {
		return ok([]);
	}

	const views = await listResources(hosts, 'targets');
	return views.map((found) => {
		const names = new Set(found.map(({resource}) => resource.name));
		const lacking = declarations.filter(
			(each) => each.kind === 'services' && !names.has(each.spec.target),
		);
		return listUndeclaredTargets(declarations).filter(({place}) =>
			lacking.some(
				(each) =>
					each.place.file === place.file && each.place.line === place.line,
			),
		);
	});
}

async function makePlan(
	hosts: string[],
	declarations: Declaration[],
): Promise<Result<Step[], Failure>> {
	const steps: Step[] = [];
	const sorted = declarations.toSorted((a, b) => order[a.kind] - order[b.kind]);
	for (const declaration of sorted) {
		const {kind, name} = declaration;
		const view = await getResource(hosts, kind, name);
		if (view.isErr()) {
			return err(view.error);
		}

		steps.push(makeStep(declaration, view.value));
	}

	return ok(steps);
}

function makeStep(declaration: Declaration, view: View | undefined): Step {
	const spec = view?.resource.spec ?? undefined;
	if (spec === undefined) {
		return {declaration, action: 'create', revision: 0, differences: []};
	}

	// Specs of an older version lack fields that have defaults by now: these aren't differences.
	const known = specSchemas[declaration.kind].safeParse(spec);
	const differences = listDifferences(
		known.success ? known.data : spec,
		declaration.spec,
	);
	return {
		declaration,
		action: differences.length > 0 ? 'change' : 'keep',
		revision: view!.resource.revision,
		differences,
	};
}

function showPlan(
	terminal: Terminal,
	steps: Step[],
	{output}: ApplyOptions,
): ExitCode {
	for (const step of steps) {
		writeStep(terminal, step, output, 'not changed (dry run)');
	}

	return exitCodes.ok;
}

async function runPlan(
	terminal: Terminal,
	steps: Step[],
	{host, output}: ApplyOptions,
): Promise<ExitCode> {
	let worst: ExitCode = exitCodes.ok;
	for (const step of steps) {
		if (step.action === 'keep') {
			writeStep(terminal, step, output, 'unchanged');
			continue;
		}

		const {kind, name, spec} = step.declaration;
		const outcome = await changeResource(
			host,
			{kind, name, spec, expectRevision: step.revision},
			terminal.writeError,
		);
		if (outcome.isOk()) {
			writeStep(terminal, step, output, outcome.value);
		} else {
			const title = formatKey(step.declaration);
			const code = reportChangeFailure(terminal, title, outcome.error);
			worst = Math.max(worst, code) as ExitCode;
		}
	}

	return worst;
}

function writeStep(
	{writeOut}: Terminal,
	{declaration, action, differences}: Step,
	output: HostOptions['output'],
	outcome: string,
): void {
	const key = formatKey(declaration);
	if (output === 'json') {
		writeOut(JSON.stringify({key, action, differences, outcome}));
		return;
	}

	const sign = {create: '+', change: '~', keep: ' '}[action];
	writeOut(`${sign} ${key}: ${outcome}`);
	for (const difference of differences) {
		writeOut(`    ${difference}`);
	}
}
