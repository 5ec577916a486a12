/**
`watch`: shows changes of spec and of live status as they happen, until interrupted.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {type Kind} from '@gentianshift/resources';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type HostOptions} from '../host-options.js';
import {streamLines} from '../http.js';
import {type Event, eventSchema} from '../replies.js';
import {formatStatus} from '../status.js';
import {makeRow} from '../table.js';
import {type Terminal} from '../terminal.js';

/** Between one watch that ended and the next, so that a fleet of watchers is no herd. */
const shortestPauseMs = 200;
const longestPauseMs = 1000;

export async function watch(
	terminal: Terminal,
	kind: Kind,
	name: string | undefined,
	{host, output}: HostOptions,
): Promise<ExitCode> {
	const path = `/v1/${kind}${name === undefined ? '' : `/${name}`}?watch`;
	const signal = terminal.listenForStop();
	let [...hosts] = host;
	while (!signal.aborted) {
		for await (const line of streamLines(hosts, {
			method: 'GET',
			path,
			signal,
		})) {
			if (line.isErr() && !signal.aborted) {
				terminal.writeError(`watch broke off: ${line.error.message}`);
			}

			if (line.isOk()) {
				writeEvent(terminal, kind, line.value, output);
			}
		}

		hosts = [...hosts.slice(1), hosts[0]!];
		await waitForPause(signal);
	}

	return exitCodes.ok;
}

function writeEvent(
	{writeOut, writeError}: Terminal,
	kind: Kind,
	line: unknown,
	output: HostOptions['output'],
): void {
	const event = eventSchema.safeParse(line);
	if (!event.success) {
		writeError(`not an event: ${JSON.stringify(line).slice(0, 200)}`);
	} else if (event.data.type === 'reconnect') {
		writeError('the host is stopping: watching at another one');
	} else {
		writeOut(
			output === 'json' ? JSON.stringify(line) : formatEvent(kind, event.data),
		);
	}
}

function formatEvent(kind: Kind, {type, view}: Event): string {
	const time = new Date().toISOString().slice(11, 23);
	if (view === undefined) {
		return `${time} ${type}`;
	}

	const {name, spec} = view.resource;
	const title = `${time} ${type} ${kind}/${name}`;
	if (type === 'status' || spec === null) {
		return `${title} ${formatStatus(view.resource.revision, view.status)}`;
	}

	const cells = Object.entries(makeRow(kind, view)).slice(1);
	return `${title} ${cells.map(([key, cell]) => `${key.toLowerCase()}=${cell}`).join(' ')}`;
}

async function waitForPause(signal: AbortSignal): Promise<void> {
	const span = longestPauseMs - shortestPauseMs;
	const ms = shortestPauseMs + Math.random() * span;
	try {
		await delay(ms, undefined, {signal});
	} catch {
		// Interrupted: the loop ends.
	}
}
