/**
Where log lines go: standard output, written in batches and never waited for.

What goes wrong: a pipe whose reader is slow blocks the process that writes to it. One would see
every request stall. Lines are kept up to a bound and written asynchronously; what comes beyond is
dropped and counted, and a line says how many were.
*/
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Characters that wait to be written: some thousands of lines. */
const maxWaiting = 1_000_000;
/** Lines are gathered for this long: a tenth of the writes, and still at once for a reader. */
const gatherMs = 100;

/** Writes to a file descriptor, 1 where none is given. */
export function createLogSink(descriptor = 1): Writable {
	let waiting: string[] = [];
	let size = 0;
	let dropped = 0;
	let isWriting = false;
	let isScheduled = false;

	function add(line: string): void {
		if (size + line.length > maxWaiting) {
			dropped += 1;
			return;
		}

		waiting.push(line);
		size += line.length;
		schedule();
	}

	function schedule(): void {
		if (isScheduled || isWriting) {
			return;
		}

		isScheduled = true;
		setTimeout(flush, gatherMs);
	}

	function flush(): void {
		isScheduled = false;
		if (isWriting || waiting.length === 0) {
			return;
		}

		if (dropped > 0) {
			waiting.push(
				`${JSON.stringify({level: 40, msg: 'log lines dropped', dropped})}\n`,
			);
			dropped = 0;
		}

		const text = waiting.join('');
		waiting = [];
		size = 0;
		isWriting = true;
		writeAll(Buffer.from(text));
	}

	function writeAll(bytes: Buffer): void {
		write(descriptor, bytes, (error, written) => {
			if (!error && written < bytes.length) {
				writeAll(bytes.subarray(written));
				return;
			}

			isWriting = false;
			if (waiting.length > 0) {
				schedule();
			}
		});
	}

	return new Writable({
		decodeStrings: false,
		write(chunk, _encoding, done) {
			add(String(chunk));
			done();
		},
		final(done) {
			flush();
			done();
		},
	});
}
