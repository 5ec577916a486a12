/**
The load tool.

Usage: `npm run bench -- SCENARIO... [--policy random] [--binary FILE=LABEL] [--json FILE]`;
`npm run bench -- --generate` writes the traces anew.
*/
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Command} from 'commander';
import {formatDispatchCost, measureDispatchCost} from './dispatch-cost.js';
import {formatJobSizes, measureJobSizes} from './job-sizes.js';
import {measureClairvoyant} from './policies-clairvoyant.js';
import {formatTable, type LabelledResult} from './report.js';
import {runTrace, type Variant} from './run.js';
import {createTrace, scenarios} from './scenarios.js';
import {formatTrace, readTrace, type Trace} from './trace.js';

type Options = {
	policy: string[];
	binary: string[];
	json?: string;
	traces: string;
	generate?: boolean;
	dispatchCost?: boolean;
	jobSizes?: boolean;
	own: boolean;
};

function appendValue(value: string, values: string[]): string[] {
	return [...values, value];
}

const program = new Command('bench')
	.argument('[scenarios...]', `of ${Object.keys(scenarios).join(', ')}, or all`)
	.option(
		'--policy <name>',
		'also each host on its own: random or two-choices',
		appendValue,
		[],
	)
	.option(
		'--binary <file=label>',
		'also another build of the program',
		appendValue,
		[],
	)
	.option('--no-own', 'leave out this version with its own policy')
	.option('--json <file>', 'write all measures there')
	.option('--traces <dir>', 'where the traces are', 'traces')
	.option('--generate', 'write the traces anew from their seeds')
	.option('--dispatch-cost', 'one host against a bare undici pool')
	.option('--job-sizes', 'messages between hosts by size of the jobs')
	.action(async (names: string[], options: Options) => {
		if (options.generate) {
			writeTraces(options.traces);
			return;
		}

		if (options.dispatchCost) {
			const cost = await measureDispatchCost();
			process.stdout.write(`${formatDispatchCost(cost)}\n`);
		}

		if (options.jobSizes) {
			const costs = await measureJobSizes();
			process.stdout.write(`${formatJobSizes(costs)}\n`);
		}

		const chosen = names.includes('all') ? Object.keys(scenarios) : names;
		await runScenarios(chosen, options);
	});

await program.parseAsync();
process.exit(process.exitCode ?? 0);

function writeTraces(dir: string): void {
	mkdirSync(dir, {recursive: true});
	for (const name of Object.keys(scenarios)) {
		const text = formatTrace(createTrace(name));
		writeFileSync(path.join(dir, `${name}.ndjson`), text);
	}
}

function listVariants({policy, binary, own}: Options): Variant[] {
	return [
		...(own ? [{label: 'this version'}] : []),
		...binary.map((text) => {
			const [file = '', label = file] = text.split('=');
			return {label, program: [path.resolve(file)]};
		}),
		...policy.map((name) => ({
			label: name,
			program: [path.resolve('dist/baseline-host.cjs')],
			env: {GENTIANSHIFT_POLICY: name},
		})),
	];
}

async function runScenarios(
	names: readonly string[],
	options: Options,
): Promise<void> {
	const report: Record<string, LabelledResult[]> = {};
	for (const name of names) {
		const trace = readTrace(path.join(options.traces, `${name}.ndjson`));
		if (trace.isErr()) {
			process.stderr.write(`${trace.error.message}\n`);
			process.exitCode = 2;
			return;
		}

		const results = await runVariants(trace.value, listVariants(options));
		const limit = {
			label: 'clairvoyant',
			measures: measureClairvoyant(trace.value),
			violations: [],
			told: {},
		};
		const columns = [...results, limit];
		process.stdout.write(`${formatTable(trace.value, columns)}\n`);
		report[name] = results;
		if (options.json !== undefined) {
			saveReport(options.json, report);
		}
	}
}

/** One variant after another: side by side they would take each other's processors. */
async function runVariants(
	trace: Trace,
	variants: readonly Variant[],
): Promise<LabelledResult[]> {
	const results: LabelledResult[] = [];
	for (const variant of variants) {
		const result = await runTrace(trace, variant);
		const calm = trace.header.compareCalm
			? await runTrace(withoutEvents(trace), variant)
			: undefined;
		if (calm !== undefined) {
			result.measures['calm.p99'] =
				result.measures['ratio.p99']! / calm.measures['ratio.p99']!;
		}

		results.push({label: variant.label, ...result});
	}

	return results;
}

function withoutEvents({header, jobs}: Trace): Trace {
	return {header: {...header, events: []}, jobs};
}

function saveReport(
	file: string,
	report: Record<string, LabelledResult[]>,
): void {
	writeFileSync(file, `${JSON.stringify(report, undefined, '\t')}\n`);
}
