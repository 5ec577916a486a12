/**
Draws a schedule of faults from a seed: when each begins and how long it lasts. What it is, the caller draws.
*/
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** A fault from `at` on for `forMs`, milliseconds from the run's begin. */
export type Span = {at: number; forMs: number};

export type ScheduleDraw = {
	/** Uniform, both ends included. */
	drawInt: (least: number, most: number) => number;
	drawOne: <T>(values: readonly T[]) => T;
	/** A host that is in no other fault until then; undefined when too many are. */
	drawHost: (at: number, until: number) => string | undefined;
};

/** Between the begins of two faults, so that often two or three act together, milliseconds. */
export const gapMs = {least: 300, most: 2000};
/** Shorter than a lease, or longer than every timeout between hosts, milliseconds. */
export const lengthMs = {least: 400, most: 6000};
/** At least this part of the hosts is left alone, so that there is someone to ask. */
const sparedShare = 0.5;

/** The faults of a seed, by time; all end before the run does. `drawFault` may leave one out. */
export function drawSchedule<F extends Span>(
	seed: number,
	durationMs: number,
	hosts: readonly string[],
	drawFault: (span: Span, draw: ScheduleDraw) => F | undefined,
): F[] {
	const draw = createScheduleDraw(seed, hosts);
	const faults: F[] = [];
	let at = draw.drawInt(gapMs.least, gapMs.most);
	while (at + lengthMs.least < durationMs) {
		const most = Math.min(lengthMs.most, durationMs - at);
		const forMs = draw.drawInt(lengthMs.least, most);
		const fault = drawFault({at, forMs}, draw);
		if (fault !== undefined) {
			faults.push(fault);
		}

		at += draw.drawInt(gapMs.least, gapMs.most);
	}

	return faults;
}

function createScheduleDraw(
	seed: number,
	hosts: readonly string[],
): ScheduleDraw {
	const generator = xoroshiro128plus(seed);
	const hostFreeAt = new Map<string, number>();
	const drawInt = (least: number, most: number) =>
		unsafeUniformIntDistribution(least, most, generator);
	const drawOne = <T>(values: readonly T[]): T =>
		values[drawInt(0, values.length - 1)]!;
	return {
		drawInt,
		drawOne,
		drawHost(at, until) {
			const free = hosts.filter((host) => (hostFreeAt.get(host) ?? 0) <= at);
			if (free.length <= hosts.length * sparedShare) {
				return undefined;
			}

			const host = drawOne(free);
			hostFreeAt.set(host, until);
			return host;
		},
	};
}
