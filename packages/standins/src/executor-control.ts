/**
The executors of one process behind one control port.

- `GET /starts?since=N`: the log of starts as NDJSON; `DELETE /starts` empties it.
- `GET /stats`: an array of counts, one per executor.
- `PUT /modes`: how one executor behaves; `"executor": "*"` means all.
- `PUT /links`: delays and faults by the client's IP.
*/
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage} from 'node:http';
import {type AddressInfo} from 'node:net';
import {ExecutorLinks, type LinkDelay} from './executor-links.js';
import {
	linkChangeSchema,
	modeChangeSchema,
	type ExecutorsListening,
	type ModeChange,
} from './executor-schemas.js';
import {StartLog} from './executor-starts.js';
import {
	startExecutor,
	type ExecutorSettings,
	type RunningExecutor,
} from './executor.js';

export type FleetSettings = {
	/** Control port on 127.0.0.1; 0: any free one. */
	controlPort: number;
	executors: readonly ExecutorSettings[];
	delays: readonly LinkDelay[];
};

export type RunningFleet = {
	listening: ExecutorsListening;
	close: () => Promise<void>;
};

type Reply = {status: number; lines: Iterable<string>};
type Fleet = {
	executors: readonly RunningExecutor[];
	links: ExecutorLinks;
	starts: StartLog;
};

/** Opens all executors and their control port. */
export async function startExecutors({
	controlPort,
	executors: settings,
	delays,
}: FleetSettings): Promise<RunningFleet> {
	const links = new ExecutorLinks(delays);
	const starts = new StartLog();
	const executors = await Promise.all(
		settings.map(async (one) => startExecutor(one, {links, starts})),
	);
	const fleet = {executors, links, starts};
	const control = createServer((req, res) => {
		readBody(req, (body) => {
			const reply = answerControl(fleet, req, body);
			res.writeHead(reply.status, {'content-type': 'application/x-ndjson'});
			res.end([...reply.lines].join(''));
		});
	});
	await new Promise<void>((resolve, reject) => {
		control.once('error', reject);
		control.listen(controlPort, '127.0.0.1', resolve);
	});
	const {port} = control.address() as AddressInfo;
	return {
		listening: {
			listening: 'executors',
			control: `127.0.0.1:${port}`,
			executors: executors.map(({name, address}) => ({name, address})),
		},
		async close() {
			control.closeAllConnections();
			control.close();
			await Promise.all(executors.map(async (executor) => executor.close()));
		},
	};
}

function answerControl(
	fleet: Fleet,
	req: IncomingMessage,
	body: string,
): Reply {
	const url = new URL(req.url ?? '/', 'http://control');
	switch (`${req.method} ${url.pathname}`) {
		case 'GET /starts': {
			const since = Number(url.searchParams.get('since') ?? 0);
			return {status: 200, lines: fleet.starts.formatSince(since)};
		}

		case 'DELETE /starts': {
			fleet.starts.clear();
			return {status: 204, lines: []};
		}

		case 'GET /stats': {
			const stats = fleet.executors.map((executor) => executor.readStats());
			return {status: 200, lines: [JSON.stringify(stats)]};
		}

		case 'PUT /modes': {
			const change = modeChangeSchema.safeParse(parseJson(body));
			return change.success
				? setModes(fleet, change.data)
				: describeError(400, change.error.message);
		}

		case 'PUT /links': {
			const change = linkChangeSchema.safeParse(parseJson(body));
			if (!change.success) {
				return describeError(400, change.error.message);
			}

			fleet.links.changeLink(change.data);
			return {status: 204, lines: []};
		}

		default: {
			return describeError(404, 'no such control');
		}
	}
}

function setModes({executors}: Fleet, change: ModeChange): Reply {
	const chosen = executors.filter(
		({name}) => change.executor === '*' || change.executor === name,
	);
	if (chosen.length === 0) {
		return describeError(404, `no executor "${change.executor}"`);
	}

	for (const executor of chosen) {
		executor.setMode(change);
	}

	return {status: 204, lines: []};
}

function describeError(status: number, error: string): Reply {
	return {status, lines: [JSON.stringify({error})]};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function readBody(req: IncomingMessage, then: (body: string) => void): void {
	const chunks: Uint8Array[] = [];
	req.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	req.on('end', () => {
		then(Buffer.concat(chunks).toString());
	});
}
