/**
Prints the measures of several variants side by side.
*/
import {isKept, type Measures} from './measures.js';
import {type RunResult} from './run.js';
import {type Trace} from './trace.js';

export type LabelledResult = RunResult & {label: string};

/** Measures shown in the table for every scenario; the JSON holds all. */
const shown = [
	'jobs',
	'complete',
	'refused',
	'lost',
	'otherwise',
	'ratio.p50',
	'ratio.p99',
	'ratio.p999',
	'refusal.p50.ms',
	'refusal.p99.ms',
	'goodput.share',
	'goodput.useful',
	'wasted.executors',
	'wasted.starts',
	'messages.hosts',
	'messages.platform',
	'bytes.hosts',
	'cpu.us',
	'memory.mb',
	'roundTrip.ms',
	'machine.load',
	'late.p99.ms',
];

const nameWidth = 34;
const columnWidth = 16;

/** A table: a row a measure, a column a variant, and whether each bound is kept. */
export function formatTable(
	{header}: Trace,
	results: readonly LabelledResult[],
): string {
	const groups = Object.keys(results[0]?.measures ?? {}).filter((name) =>
		/^(?:class|team)\.[^.]+\.(?:ratio\.p(?:50|99)|served)$/v.test(name),
	);
	const names = new Set([
		...shown,
		...groups,
		...header.expect.map(({measure}) => measure),
	]);
	return [
		`${header.trace}: ${header.about}`,
		formatRow('measure', [...results.map(({label}) => label), 'to reach']),
		...[...names].map((name) =>
			formatRow(name, [
				...results.map(({measures}) => formatCell(measures, name)),
				formatBound(header.expect, name),
			]),
		),
		formatRow('bounds kept', [
			...results.map(({measures}) => countKept(header.expect, measures)),
		]),
		formatRow('promises broken', [
			...results.map(({violations}) => String(violations.length)),
		]),
		...results.map(
			({label, told}) => `told by ${label}: ${JSON.stringify(told)}`,
		),
		'',
	].join('\n');
}

function formatRow(name: string, cells: readonly string[]): string {
	const padded = cells.map((cell) => cell.padStart(columnWidth));
	return `${name.padEnd(nameWidth)}${padded.join('')}`;
}

function formatCell(measures: Measures, name: string): string {
	const value = measures[name];
	if (value === undefined) {
		return '-';
	}

	return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

function formatBound(expect: Trace['header']['expect'], name: string): string {
	const found = expect.find(({measure}) => measure === name);
	if (found === undefined) {
		return '';
	}

	return found.atMost === undefined
		? `>= ${found.atLeast}`
		: `<= ${found.atMost}`;
}

function countKept(
	expect: Trace['header']['expect'],
	measures: Measures,
): string {
	const known = expect.filter(({measure}) => measures[measure] !== undefined);
	const kept = known.filter((one) => isKept(measures, one) === true);
	return `${kept.length} of ${known.length}`;
}
