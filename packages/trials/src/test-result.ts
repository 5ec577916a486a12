/** False once the test has failed; a runtime that does not tell counts as one where it passed. */
export function hasPassed(context: object): boolean {
	return !('passed' in context) || context.passed !== false;
}
