/**
Fixtures of this package's tests: a terminal that records, and an HTTP host that a function plays.
*/
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {readFile} from 'node:fs/promises';
import {type ExitCode} from './exit-codes.js';
import {runProgram} from './program.js';
import {type Terminal} from './terminal.js';

export type FakeRequest = {
	method: string;
	path: string;
	body: Record<string, unknown>;
};

/** What the fake host does: answers, or drops the connection without an answer. */
export type FakeReply = {status: number; body: unknown} | 'drop';

export type FakeHost = {
	url: string;
	requests: FakeRequest[];
	stop: () => void;
};

/** Starts an HTTP server that answers by a function, on a port of its own. */
export async function startFakeHost(
	answer: (request: FakeRequest) => FakeReply,
): Promise<FakeHost> {
	const requests: FakeRequest[] = [];
	const server = createServer((incoming, outgoing) => {
		void replyTo(incoming, outgoing);
	});
	const replyTo = async (
		incoming: IncomingMessage,
		outgoing: ServerResponse,
	) => {
		const request = await readRequest(incoming);
		requests.push(request);
		const reply = answer(request);
		if (reply === 'drop') {
			outgoing.destroy();
			return;
		}

		outgoing.writeHead(reply.status, {'content-type': 'application/json'});
		outgoing.end(JSON.stringify(reply.body));
	};

	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		requests,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}

async function readRequest(incoming: IncomingMessage): Promise<FakeRequest> {
	const hasBody = incoming.method === 'PUT' || incoming.method === 'POST';
	return {
		method: incoming.method!,
		path: incoming.url!,
		body: hasBody ? ((await json(incoming)) as Record<string, unknown>) : {},
	};
}

export type Recorded = {
	code: ExitCode;
	out: string;
	error: string;
	progress: string[];
};

/** Runs a command line with given input files and records what it writes. */
export async function runRecorded(
	args: string[],
	files: Record<string, string> = {},
): Promise<Recorded> {
	const out: string[] = [];
	const error: string[] = [];
	const progress: string[] = [];
	const terminal: Terminal = {
		writeOut(line) {
			out.push(line);
		},
		writeError(line) {
			error.push(line);
		},
		showProgress(line) {
			progress.push(line);
		},
		readText: async (file) => files[file] ?? readFile(file, 'utf8'),
		env: {},
		listenForStop: () => new AbortController().signal,
	};
	const code = await runProgram(args, terminal);
	return {code, out: out.join('\n'), error: error.join('\n'), progress};
}
