/**
Runs many relay links in one process.

Usage: `node --import tsx packages/standins/src/relay-main.ts --control PORT
--link NAME=IP:PORT>IP:PORT@DELAY ...`. Port 0 takes any free one. Control: `PUT /links`
`{"names": [...], "fault": "heal" | "cut" | "silence" | "silence-open"}`.
Writes one JSON line when all ports are open; ends on SIGTERM.
*/
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {z} from 'zod';
import {RelayLink, relayFaultSchema, type LinkSettings} from './relay.js';

const controlSchema = z.strictObject({
	names: z.array(z.string()),
	fault: relayFaultSchema,
});

const {values} = parseArgs({
	options: {
		control: {type: 'string', default: '0'},
		link: {type: 'string', multiple: true, default: []},
	},
});

const links = new Map(
	values.link.map((text) => {
		const settings = parseLink(text);
		return [settings.name, new RelayLink(settings)];
	}),
);
await Promise.all([...links.values()].map(async (link) => link.open()));

const control = createServer((req, res) => {
	const chunks: Uint8Array[] = [];
	req.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	req.on('end', () => {
		const body = Buffer.concat(chunks).toString();
		changeLinks(body).then((status) => {
			res.writeHead(status).end();
		}, reportError);
	});
});
control.listen(Number(values.control), '127.0.0.1', () => {
	const {port} = control.address() as AddressInfo;
	const ports = [...links].map(([name, link]) => ({
		name,
		address: `${link.settings.listen.ip}:${link.port}`,
	}));
	const line = {
		listening: 'relay',
		control: `127.0.0.1:${port}`,
		links: ports,
	};
	process.stdout.write(`${JSON.stringify(line)}\n`);
});
process.once('SIGTERM', () => {
	process.exit(0);
});

function reportError(error: unknown): void {
	process.stderr.write(`${String(error)}\n`);
}

async function changeLinks(body: string): Promise<number> {
	const change = controlSchema.safeParse(JSON.parse(body));
	if (!change.success) {
		return 400;
	}

	const {names, fault} = change.data;
	await Promise.all(
		names.map(async (name) => links.get(name)?.applyFault(fault)),
	);
	return 204;
}

function parseLink(text: string): LinkSettings {
	const match = /^([^=]+)=([\d.]+):(\d+)>([\d.]+):(\d+)@(\d+(?:\.\d+)?)$/v.exec(
		text,
	);
	if (!match) {
		process.stderr.write(`"${text}" is not NAME=IP:PORT>IP:PORT@DELAY\n`);
		process.exit(2);
	}

	const [, name, listenIp, listenPort, targetIp, targetPort, delay] =
		match as unknown as string[];
	return {
		name: name!,
		listen: {ip: listenIp!, port: Number(listenPort)},
		target: {ip: targetIp!, port: Number(targetPort)},
		delayMs: Number(delay),
	};
}
