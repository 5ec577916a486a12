/**
The command line: each command's arguments, options and help.
*/
import {
	Command,
	CommanderError,
	InvalidArgumentError,
	type OutputConfiguration,
} from 'commander';
import {type Kind} from '@gentianshift/resources';
import {apply, type ApplyOptions} from './commands/apply.js';
import {check} from './commands/check.js';
import {drain} from './commands/drain.js';
import {explain} from './commands/explain.js';
import {get} from './commands/get.js';
import {cancel, showJob} from './commands/job.js';
import {serve} from './commands/serve.js';
import {submit, type SubmitCommandOptions} from './commands/submit.js';
import {watch} from './commands/watch.js';
import {type ExitCode, exitCodes, exitCodesHelp} from './exit-codes.js';
import {
	addHostOptions,
	type HostOptions,
	parseDurationOption,
	parseKind,
} from './host-options.js';
import {type Terminal} from './terminal.js';

/** A command's work: its exit code, once it is known. */
type Finish = (code: ExitCode) => void;

/**
Runs one command line, without the program's own name.

@example
await runProgram(['check', 'examples/rancho-minero'], createTerminal()); // 0
*/
export async function runProgram(
	args: readonly string[],
	terminal: Terminal,
): Promise<ExitCode> {
	let code: ExitCode = exitCodes.ok;
	const program = createProgram(terminal, (result) => {
		code = result;
	});
	try {
		await program.parseAsync(args, {from: 'user'});
		return code;
	} catch (error) {
		if (error instanceof CommanderError) {
			return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
		}

		throw error;
	}
}

function createProgram(terminal: Terminal, finish: Finish): Command {
	const program = new Command('gentianshift')
		.description(
			'Dispatcher for sub-second tasks: at most once, whole answers, true refusals.',
		)
		.configureOutput(makeOutput(terminal))
		.exitOverride()
		.addHelpText('after', exitCodesHelp)
		.showHelpAfterError('(see --help)');
	addHostCommands(program, terminal, finish);
	addOperatorCommands(program, terminal, finish);
	addCallerCommands(program, terminal, finish);
	for (const command of program.commands) {
		command.addHelpText('after', exitCodesHelp);
	}

	return program;
}

function makeOutput({writeOut, writeError}: Terminal): OutputConfiguration {
	return {
		writeOut(text) {
			writeOut(text.trimEnd());
		},
		writeErr(text) {
			writeError(text.trimEnd());
		},
	};
}

function addHostCommands(program: Command, terminal: Terminal, finish: Finish) {
	program
		.command('serve')
		.description('run an entry host until SIGTERM, then stop it gracefully')
		.requiredOption('--settings <file>', 'INI file with the settings')
		.action(async ({settings}: {settings: string}) => {
			finish(await serve(terminal, settings));
		});
	program
		.command('check')
		.description('report all findings of settings and declarations')
		.argument('<file...>', 'INI files, or directories of them')
		.action(async (files: string[]) => {
			finish(await check(terminal, files));
		});
	program
		.command('explain')
		.description("tell from hosts' logs what became of jobs, and why")
		.argument('<log...>', 'files of log lines; "-": standard input')
		.option('--job <id>', 'the story of one job')
		.action(async (files: string[], options: {job?: string}) => {
			finish(await explain(terminal, files, options));
		});
}

function addOperatorCommands(
	program: Command,
	terminal: Terminal,
	finish: Finish,
) {
	addHostOptions(program.command('apply'))
		.description('bring services, teams and targets to what files declare')
		.requiredOption('-f, --file <path...>', 'INI files, or directories of them')
		.option('--dry-run', 'show the differences, change nothing')
		.action(async (options: ApplyOptions) => {
			finish(await apply(terminal, options));
		});
	addHostOptions(program.command('get'))
		.description('show resources and their live status')
		.argument('<kind>', 'services, teams or targets', parseKind)
		.argument('[name]', 'one of them')
		.action(
			async (kind: Kind, name: string | undefined, options: HostOptions) => {
				finish(await get(terminal, kind, name, options));
			},
		);
	addHostOptions(program.command('watch'))
		.description('show changes of spec and status as they happen')
		.argument('<kind>', 'services, teams or targets', parseKind)
		.argument('[name]', 'one of them')
		.action(
			async (kind: Kind, name: string | undefined, options: HostOptions) => {
				finish(await watch(terminal, kind, name, options));
			},
		);
	addDrain(program, terminal, finish);
}

function addDrain(program: Command, terminal: Terminal, finish: Finish) {
	const command = addHostOptions(program.command('drain'))
		.description('give a target, or one of its executors, no new work')
		.usage('[options] target NAME [executor NAME]')
		.argument('<words...>', 'target NAME [executor NAME]')
		.action(async (words: string[], options: HostOptions) => {
			const [first, target, second, executor, ...rest] = words;
			const isWhole =
				first === 'target' &&
				target !== undefined &&
				rest.length === 0 &&
				(second === undefined ||
					(second === 'executor' && executor !== undefined));
			if (!isWhole) {
				command.error('error: allowed: target NAME [executor NAME]');
			}

			finish(await drain(terminal, target!, executor, options));
		});
}

function addCallerCommands(
	program: Command,
	terminal: Terminal,
	finish: Finish,
) {
	addHostOptions(program.command('submit'))
		.description('submit a job and wait for its whole answer')
		.requiredOption('--service <name>', 'service that runs the tasks')
		.requiredOption('--team <name>', 'team that the job counts for')
		.option('--tasks <file>', 'NDJSON, a task a line; "-": standard input', '-')
		.option(
			'--deadline <duration>',
			"like 10s; the service's own if absent",
			parseDurationOption,
		)
		.option('--id <id>', 'id of an earlier submission, or a UUIDv7')
		.option(
			'--retries <number>',
			'times to come back after a refusal that says when',
			parseCount,
			0,
		)
		.action(async (options: SubmitCommandOptions) => {
			finish(await submit(terminal, options));
		});
	addHostOptions(program.command('job'))
		.description('show a job, at any host')
		.argument('<id>', 'id of the job')
		.option(
			'--wait <duration>',
			'wait for its end, up to this',
			parseDurationOption,
		)
		.action(async (id: string, options: HostOptions & {wait?: number}) => {
			finish(await showJob(terminal, id, options));
		});
	addHostOptions(program.command('cancel'))
		.description('cancel a job, at any host')
		.argument('<id>', 'id of the job')
		.action(async (id: string, options: HostOptions) => {
			finish(await cancel(terminal, id, options));
		});
}

function parseCount(text: string): number {
	if (!/^\d{1,4}$/v.test(text)) {
		throw new InvalidArgumentError('allowed: a whole number from 0 to 9999');
	}

	return Number(text);
}
