/**
Where commands write and read: passed in, so that tests need no process.
*/
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';

export type Terminal = {
	/** Results, on standard output. */
	writeOut: (line: string) => void;
	/** Progress, findings and errors, on standard error. */
	writeError: (line: string) => void;
	/** Shows progress that the next call replaces; only on a terminal. */
	showProgress: (line: string) => void;
	/** Reads a whole file, or standard input for "-". */
	readText: (file: string) => Promise<string>;
	env: Record<string, string | undefined>;
	/**
	For commands that go on until they are stopped: from this call on SIGTERM and SIGINT abort
	the signal instead of ending the process.
	*/
	listenForStop: () => AbortSignal;
};

/** The terminal of this process. */
export function createTerminal(): Terminal {
	const isInteractive = process.stderr.isTTY;
	return {
		writeOut(line) {
			process.stdout.write(`${line}\n`);
		},
		writeError(line) {
			process.stderr.write(isInteractive ? `\r\u001B[K${line}\n` : `${line}\n`);
		},
		showProgress(line) {
			if (isInteractive) {
				process.stderr.write(`\r\u001B[K${line}`);
			}
		},
		readText: async (file) =>
			file === '-' ? text(process.stdin) : readFile(file, 'utf8'),
		env: process.env,
		listenForStop,
	};
}

function listenForStop(): AbortSignal {
	const controller = new AbortController();
	for (const name of ['SIGTERM', 'SIGINT'] as const) {
		process.on(name, () => {
			controller.abort();
		});
	}

	return controller.signal;
}
