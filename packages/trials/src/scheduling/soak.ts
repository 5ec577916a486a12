/**
The soak by command.

Usage: `npm run soak -- --seed N [--seeds COUNT] --minutes M [--hosts H] [--executors E]`, after `npm run build`. Prints
each seed's outcome as JSON, with its schedule where a promise was broken; exits 1 then.
*/
import process from 'node:process';
import {Command} from 'commander';
import {runSoak} from './soak-run.js';

type Options = {
	seed: string;
	seeds: string;
	minutes: string;
	hosts: string;
	executors: string;
};

const msPerMinute = 60_000;
const exitBroken = 1;

// By the default of these signals the processes that were started would go on.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(exitBroken);
	});
}

const program = new Command('soak')
	.option('--seed <n>', 'the first seed', '1')
	.option('--seeds <count>', 'how many seeds, one after another', '1')
	.option('--minutes <m>', 'of each seed', '1')
	.option('--hosts <h>', 'of each data centre', '3')
	.option('--executors <e>', 'of each data centre', '6')
	.action(async ({seed, seeds, minutes, hosts, executors}: Options) => {
		for (let i = 0; i < Number(seeds); i++) {
			const {schedule, ...result} = await runSoak(Number(seed) + i, {
				durationMs: Number(minutes) * msPerMinute,
				hosts: Number(hosts),
				executors: Number(executors),
			});
			const isBroken = result.violations.length > 0;
			const shown = isBroken ? {...result, schedule} : result;
			process.stdout.write(`${JSON.stringify(shown)}\n`);
			if (isBroken) {
				process.exitCode = exitBroken;
			}
		}
	});

await program.parseAsync();
