/**
Exit codes of every command.
*/

export const exitCodes = {
	ok: 0,
	/** A job failed or was cancelled; a change was refused, for a racing one perhaps. */
	failed: 1,
	/** Wrong usage, or findings in a file. */
	usage: 2,
	/** Refused, and nothing of it ran: coming back is safe. */
	refused: 3,
	/** It may have run, or taken effect: ask again by its id before anything else. */
	unknown: 4,
	/** No host answered, and nothing was sent that could have had an effect. */
	unreachable: 5,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** The same for `--help`. */
export const exitCodesHelp = `
Exit codes:
  0  done
  1  the job failed or was cancelled, or the change was refused (a conflict, say)
  2  wrong usage, or findings in a file
  3  refused, and nothing of it ran
  4  outcome unknown: it may have run or taken effect; ask by its id first
  5  no host answered, and nothing was sent that could have had an effect`;
