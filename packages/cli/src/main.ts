/**
The program's entry.
*/
import process from 'node:process';
import {listenEarly} from '@gentianshift/platform-adapter/early-listener';

/** The variable that the users' platform sets for the processes it runs. */
const platformVariable = 'GENTIANSHIFT_SETTINGS';

/**
Each way to run loads only what it needs: a host on the platform has a fraction of a core, and
the whole command line would delay its start.
*/
async function run(): Promise<void> {
	const args = process.argv.slice(2);
	const file = process.env[platformVariable];
	if (file !== undefined && args.length === 1 && args[0] === 'serve') {
		// By default the signal ends the process. The settings are read later, so there is nothing to read again yet.
		process.on('SIGHUP', () => undefined);
		const early = await listenEarly(file);
		const {servePlatform} = await import('@gentianshift/platform-adapter');
		process.exit(await servePlatform(file, early));
	}

	const {runProgram} = await import('./program.js');
	const {createTerminal} = await import('./terminal.js');
	process.exit(await runProgram(args, createTerminal()));
}

// The binary is one CommonJS file, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void run();
