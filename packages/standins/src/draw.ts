/**
Seeded draws from the distributions that the traces are made of.
*/
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Resolution of a uniform draw. */
const steps = 2 ** 31 - 1;

export type Draw = {
	/** Uniform in (0, 1). */
	drawUniform: () => number;
	/** Exponential: the gaps of a Poisson process. */
	drawExponential: (mean: number) => number;
	/** Log-normal by its median and the standard deviation of its logarithm. */
	drawLogNormal: (median: number, sigma: number) => number;
	/** One of the values, each as likely as the others. */
	drawOne: <T>(values: readonly T[]) => T;
};

/**
@example
const draw = createDraw(7);
draw.drawLogNormal(200, 0.7);
*/
export function createDraw(seed: number): Draw {
	const generator = xoroshiro128plus(seed);

	function drawUniform(): number {
		return unsafeUniformIntDistribution(1, steps, generator) / (steps + 1);
	}

	/** Standard normal, by Box and Muller. */
	function drawNormal(): number {
		const radius = Math.sqrt(-2 * Math.log(drawUniform()));
		return radius * Math.cos(2 * Math.PI * drawUniform());
	}

	return {
		drawUniform,
		drawExponential: (mean) => -mean * Math.log(drawUniform()),
		drawLogNormal: (median, sigma) => median * Math.exp(sigma * drawNormal()),
		drawOne: (values) => values[Math.floor(drawUniform() * values.length)]!,
	};
}
