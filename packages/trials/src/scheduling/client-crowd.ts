/**
Clients that try to use up a host's memory or descriptors, and what the host's process holds meanwhile.
*/
import {Buffer} from 'node:buffer';
import {readdirSync, readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {hasEnded, waitFor} from '../processes.js';
import {submitJob, type JobReply} from './caller.js';
import {queueHost, type SchedulingHostProcess} from './system.js';

const kilobytesPerMegabyte = 1024;
/** A client that has neither written all nor been closed by then is left as it is. */
const writeLimitMs = 20_000;
const replyLimitMs = 60_000;
const checkIntervalMs = 50;

export type Crowd = {
	/** Closes the connections that are still open. */
	leave: () => void;
};

export type CrowdOptions = {
	connections: number;
	/** Sent by each client, in this order; then its connection stays open. */
	pieces: readonly Buffer[];
	/** The clients do not read what the host answers. */
	isDeaf?: boolean;
};

/** Resolves when each client has written all that it has to say, or was closed. */
export async function openCrowd(
	host: SchedulingHostProcess,
	{connections, pieces, isDeaf = false}: CrowdOptions,
): Promise<Crowd> {
	const clients = Array.from({length: connections}, () =>
		openClient(host, pieces, isDeaf),
	);
	await Promise.race([
		Promise.all(clients.map(async ({written}) => written)),
		delay(writeLimitMs),
	]);
	return {
		leave() {
			for (const {socket} of clients) {
				socket.destroy();
			}
		},
	};
}

function openClient(
	{callers}: SchedulingHostProcess,
	pieces: readonly Buffer[],
	isDeaf: boolean,
): {socket: Socket; written: Promise<void>} {
	const [ip, port] = callers.split(':');
	const socket = connect(Number(port), ip);
	if (!isDeaf) {
		socket.resume();
	}

	const written = new Promise<void>((resolve) => {
		socket.once('error', () => {
			resolve();
		});
		socket.once('close', () => {
			resolve();
		});
		void writeAll(socket, pieces).then(resolve);
	});
	return {socket, written};
}

async function writeAll(
	socket: Socket,
	pieces: readonly Buffer[],
): Promise<void> {
	for (const piece of pieces) {
		const isWritten = await new Promise<boolean>((resolve) => {
			socket.once('close', () => {
				resolve(false);
			});
			socket.write(piece, (error) => {
				resolve(!error);
			});
		});
		socket.removeAllListeners('close');
		if (!isWritten) {
			return;
		}
	}
}

/** The head of a request; without `length` its body is chunked. */
export function makeHead(
	method: string,
	path: string,
	length?: number,
): Buffer {
	const size =
		length === undefined
			? 'transfer-encoding: chunked'
			: `content-length: ${length}`;
	return Buffer.from(
		`${method} ${path} HTTP/1.1\r\nhost: ${queueHost}\r\ncontent-type: application/json\r\n${size}\r\n\r\n`,
	);
}

/** So many bytes of a chunked body, in chunks of `size`, without the one that ends it. */
export function makeChunks(bytes: number, size: number): Buffer {
	const chunk = Buffer.concat([
		Buffer.from(`${size.toString(16)}\r\n`),
		Buffer.alloc(size, 'x'),
		Buffer.from('\r\n'),
	]);
	return Buffer.alloc(chunk.length * Math.floor(bytes / size), chunk);
}

/** The most memory that the process has held since its start, megabytes. */
export function readPeakMemory({process}: SchedulingHostProcess): number {
	const status = readFileSync(`/proc/${process.child.pid}/status`, 'utf8');
	const [, peak] = /^VmHWM:\s*(\d+) kB$/mv.exec(status) ?? [];
	return Number(peak) / kilobytesPerMegabyte;
}

function countDescriptors({process}: SchedulingHostProcess): number {
	return readdirSync(`/proc/${process.child.pid}/fd`).length;
}

/** Watches the descriptors until `end` is called, which gives the largest count seen. */
export function watchDescriptors(host: SchedulingHostProcess): {
	end: () => number;
} {
	let most = countDescriptors(host);
	const timer = setInterval(() => {
		most = Math.max(most, countDescriptors(host));
	}, checkIntervalMs);
	return {
		end() {
			clearInterval(timer);
			return most;
		},
	};
}

export function isAlive({process}: SchedulingHostProcess): boolean {
	return !hasEnded(process.child);
}

/** An ordinary caller, which comes again until its job is completed. */
export async function submitUntilCompleted(
	host: SchedulingHostProcess,
): Promise<JobReply> {
	return waitFor(
		async () => {
			const reply = await submitJob(host, {count: 1});
			return reply.state === 'completed' ? reply : undefined;
		},
		'an ordinary job to be completed',
		replyLimitMs,
	);
}
