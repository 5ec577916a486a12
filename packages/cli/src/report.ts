/**
Tells a failure to the user and picks the exit code.
*/
import {type ExitCode, exitCodes} from './exit-codes.js';
import {type Failure, formatFailure, isProblem} from './replies.js';
import {type Terminal} from './terminal.js';

/** Reports a failed question: nothing could have had an effect. */
export function reportFailure(
	{writeError}: Terminal,
	failure: Failure,
): ExitCode {
	writeError(formatFailure(failure));
	return isProblem(failure) ? exitCodes.failed : exitCodes.unreachable;
}

/** Reports a failed change: a lost answer leaves its outcome unknown. */
export function reportChangeFailure(
	{writeError}: Terminal,
	title: string,
	{failure, changeId}: {failure: Failure; changeId: string},
): ExitCode {
	const code = getChangeExitCode(failure);
	const hint =
		code === exitCodes.unknown
			? `; outcome unknown, look at it with "get" before changing it again (change ${changeId})`
			: '';
	writeError(`${title}: ${formatFailure(failure)}${hint}`);
	return code;
}

function getChangeExitCode(failure: Failure): ExitCode {
	if (!isProblem(failure)) {
		return failure.code === 'lost' ? exitCodes.unknown : exitCodes.unreachable;
	}

	return failure.code === 'unknown-outcome'
		? exitCodes.unknown
		: exitCodes.failed;
}
