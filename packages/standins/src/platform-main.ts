/**
The platform's stand-in as a process:
`node --import tsx packages/standins/src/platform-main.ts --port mieres=7001 --control 7000`.
Prints one JSON line with its addresses when it listens.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {startPlatform} from './platform.js';

const {values} = parseArgs({
	options: {
		/** `PORT` alone or `DATA-CENTRE=PORT`; several are allowed. */
		port: {type: 'string', multiple: true, default: ['0']},
		control: {type: 'string', default: '0'},
		'progress-ms': {type: 'string', default: '1000'},
	},
});

const ports = Object.fromEntries(
	values.port.map((text) => {
		const [dataCentre, port] = text.includes('=')
			? text.split('=')
			: ['all', text];
		return [dataCentre!, Number(port)];
	}),
);

const platform = await startPlatform({
	ports,
	controlPort: Number(values.control),
	progressMs: Number(values['progress-ms']),
});

process.stdout.write(
	JSON.stringify({urls: platform.urls, control: platform.controlUrl}) + '\n',
);

process.once('SIGTERM', () => {
	platform.stop();
	process.exit(0);
});
