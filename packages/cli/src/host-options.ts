/**
The options that every command towards hosts has.
*/
import {type Command, InvalidArgumentError, Option} from 'commander';
import {type Kind, kindSchema} from '@gentianshift/resources';
import {parseDuration} from '@gentianshift/settings';

export type HostOptions = {host: string[]; output: 'table' | 'json'};

/** Adds `--host` and `--output`. */
export function addHostOptions(command: Command): Command {
	return command
		.addOption(
			new Option(
				'--host <url>',
				'base URL of an entry host or balancer; repeat it, and they are tried in order',
			)
				.env('GENTIANSHIFT_HOSTS')
				.argParser(parseHosts)
				.makeOptionMandatory(),
		)
		.addOption(
			new Option('--output <form>', 'form of the output')
				.choices(['table', 'json'])
				.default('table'),
		);
}

/** Reads `teams` or `team`, as people type either. */
export function parseKind(text: string): Kind {
	const kind = kindSchema.safeParse(text.endsWith('s') ? text : `${text}s`);
	if (!kind.success) {
		throw new InvalidArgumentError('allowed: services, teams, targets');
	}

	return kind.data;
}

/** Reads a duration option as milliseconds. */
export function parseDurationOption(text: string): number {
	const ms = parseDuration(text);
	if (!(ms > 0)) {
		throw new InvalidArgumentError('allowed: a duration like 200ms, 30s or 5m');
	}

	return ms;
}

function parseHosts(text: string, earlier: string[] = []): string[] {
	const hosts = text.split(',').filter((part) => part !== '');
	for (const host of hosts) {
		if (!URL.canParse(host)) {
			throw new InvalidArgumentError(
				'allowed: URLs like http://127.0.0.1:17001',
			);
		}
	}

	return [...earlier, ...hosts];
}
