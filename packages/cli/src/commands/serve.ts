/**
`serve`: runs one entry host until it is told to stop.
*/
import {formatFindings} from '@gentianshift/resources';
import {readHostSettings} from '@gentianshift/settings';
import {startHost} from '@gentianshift/host';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type Terminal} from '../terminal.js';

/** Serves until SIGTERM or SIGINT, then stops in the planned way. */
export async function serve(
	terminal: Terminal,
	file: string,
): Promise<ExitCode> {
	const text = await readSettings(terminal, file);
	if (text === undefined) {
		return exitCodes.usage;
	}

	const settings = readHostSettings(text, file);
	if (settings.isErr()) {
		terminal.writeError(formatFindings(settings.error));
		return exitCodes.usage;
	}

	const signal = terminal.listenForStop();
	try {
		const host = await startHost(settings.value);
		await waitForAbort(signal);
		await host.stop();
		return exitCodes.ok;
	} catch (error) {
		terminal.writeError(`gentianshift: ${(error as Error).message}`);
		return exitCodes.failed;
	}
}

async function readSettings({readText, writeError}: Terminal, file: string) {
	try {
		return await readText(file);
	} catch (error) {
		writeError(`${file}: ${(error as Error).message}`);
		return undefined;
	}
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>((resolve) => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
}
