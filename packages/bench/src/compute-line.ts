/**
A straight line through measured points, by least squares, with the slope's standard error.
*/

export type Point = {x: number; y: number};

export type Line = {
	intercept: number;
	slope: number;
	/** Standard error of the slope; two of them each way hold the true one, mostly. */
	slopeError: number;
};

/**
Fits a line to at least three points of different x.

@example
computeLine([{x: 1, y: 3}, {x: 2, y: 5}, {x: 3, y: 7}]); // {intercept: 1, slope: 2, slopeError: 0}
*/
export function computeLine(points: readonly Point[]): Line {
	const meanX = findMean(points.map(({x}) => x));
	const meanY = findMean(points.map(({y}) => y));
	const spread = sum(points.map(({x}) => (x - meanX) ** 2));
	const product = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
	const slope = product / spread;
	const intercept = meanY - slope * meanX;
	const residuals = points.map(({x, y}) => (y - intercept - slope * x) ** 2);
	const variance = sum(residuals) / (points.length - 2);
	return {intercept, slope, slopeError: Math.sqrt(variance / spread)};
}

function findMean(values: readonly number[]): number {
	return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
