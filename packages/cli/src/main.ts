/**
The program's entry.
*/
import process from 'node:process';
import {runProgram} from './program.js';
import {createTerminal} from './terminal.js';

async function run(): Promise<void> {
	process.exit(await runProgram(process.argv.slice(2), createTerminal()));
}

// The binary is one CommonJS file, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void run();
