/**
One quantity measured while one size is varied at least fourfold, all else held.
*/
import process from 'node:process';
import {computeLine, type Line, type Point} from './compute-line.js';

export type Series = {
	/** What is measured, with its unit. */
	name: string;
	/** What is varied. */
	by: string;
	points: Point[];
};

/** Repetitions of a point: all go into the fit, so that its error shows the scatter. */
const repetitions = 3;

export async function measureSeries(
	{name, by, sizes}: {name: string; by: string; sizes: readonly number[]},
	measure: (size: number) => number | Promise<number>,
): Promise<Series> {
	const points: Point[] = [];
	// The first one compiles the code.
	await measure(sizes[0]!);
	for (let i = 0; i < repetitions; i += 1) {
		for (const x of sizes) {
			points.push({x, y: await measure(x)});
		}
	}

	return {name, by, points};
}

/** Processor time of this process's one thread of work, microseconds a step. */
export function measureCpu(steps: number, step: (i: number) => void): number {
	const before = process.cpuUsage();
	for (let i = 0; i < steps; i += 1) {
		step(i);
	}

	const {user, system} = process.cpuUsage(before);
	return (user + system) / steps;
}

/** Bytes of memory that `build` adds and keeps, an item. Needs `--expose-gc`, else the figure is rough. */
export function measureMemory(items: number, build: () => unknown): number {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const kept = build();
	globalThis.gc?.();
	const bytes = process.memoryUsage().heapUsed - before;
	return kept === undefined ? 0 : bytes / items;
}

export function formatSeries(series: Series): string {
	const line = computeLine(series.points);
	const sizes = series.points.map(({x}) => x);
	const range = `${Math.min(...sizes)}..${Math.max(...sizes)}`;
	return `${series.name} by ${series.by} (${range}): ${formatLine(line)}`;
}

function formatLine({intercept, slope, slopeError}: Line): string {
	return `${format(intercept)} + ${format(slope)} (+-${format(slopeError)}) each`;
}

function format(value: number): string {
	return value.toPrecision(3);
}
