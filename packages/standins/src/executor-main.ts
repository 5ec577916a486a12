/**
Runs many executor stand-ins in one process.

Usage: `node --import tsx packages/standins/src/executor-main.ts --control PORT
--executor NAME=IP:PORT:SLOTS ... [--delay-from IP-PREFIX=MS] ...`. Port 0 takes any free one.
Writes one JSON line when all ports are open; ends on SIGTERM.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {startExecutors} from './executor-control.js';
import {type ExecutorSettings} from './executor.js';

const {values} = parseArgs({
	options: {
		control: {type: 'string', default: '0'},
		executor: {type: 'string', multiple: true, default: []},
		'delay-from': {type: 'string', multiple: true, default: []},
	},
});

const fleet = await startExecutors({
	controlPort: Number(values.control),
	executors: values.executor.map((text) => parseExecutor(text)),
	delays: values['delay-from'].map((text) => {
		const [from = '', delayMs = '0'] = text.split('=');
		return {from, delayMs: Number(delayMs)};
	}),
});
process.stdout.write(`${JSON.stringify(fleet.listening)}\n`);
process.once('SIGTERM', () => {
	process.exit(0);
});

function parseExecutor(text: string): ExecutorSettings {
	const match = /^([^=]+)=([\d.]+):(\d+):(\d+)$/v.exec(text);
	if (!match) {
		process.stderr.write(`"${text}" is not NAME=IP:PORT:SLOTS\n`);
		process.exit(2);
	}

	const [, name = '', ip = '', port, slots] = match;
	return {name, ip, port: Number(port), slots: Number(slots)};
}
