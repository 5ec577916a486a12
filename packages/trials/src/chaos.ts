/**
The chaos run by command.

Usage: `npm run chaos -- --seed N [--seeds COUNT] --minutes M`. Prints each seed's schedule and
outcome as JSON; exits 1 when a promise was broken.
*/
import process from 'node:process';
import {Command} from 'commander';
import {runChaos} from './chaos-run.js';

type Options = {seed: string; seeds: string; minutes: string; quiet?: boolean};

const msPerMinute = 60_000;

const program = new Command('chaos')
	.option('--seed <n>', 'the first seed', '1')
	.option('--seeds <count>', 'how many seeds, one after another', '1')
	.option('--minutes <m>', 'of each seed', '1')
	.option('--quiet', 'print the schedule only of a seed that shows a fault')
	.action(async ({seed, seeds, minutes, quiet}: Options) => {
		for (let i = 0; i < Number(seeds); i++) {
			const {schedule, ...result} = await runChaos(
				Number(seed) + i,
				Number(minutes) * msPerMinute,
			);
			const isBroken = result.violations.length > 0;
			process.stdout.write(`${JSON.stringify(result)}\n`);
			if (!quiet || isBroken) {
				process.stdout.write(`${JSON.stringify({schedule})}\n`);
			}

			if (isBroken) {
				process.exitCode = 1;
			}
		}
	});

await program.parseAsync();
process.exit(process.exitCode ?? 0);
