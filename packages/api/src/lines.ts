/**
Streams of JSON lines out of async generators, read only as fast as the client takes them.
*/
import {type InFlight, type Open} from './in-flight.js';

const encoder = new TextEncoder();

export type LineStreamOptions<T> = {
	/** Ends when the signal is aborted. */
	generate: (signal: AbortSignal) => AsyncGenerator<T>;
	toLine: (item: T) => unknown;
	/** Sent when the host ends the stream before its generator does. */
	lastLine: unknown;
	/** Where the stream is kept while it is open. */
	openStreams: InFlight;
};

/** Makes a stream; a client that goes away aborts the generator. */
export function createLineStream<T>({
	generate,
	toLine,
	lastLine,
	openStreams,
}: LineStreamOptions<T>): ReadableStream<Uint8Array> {
	const abort = new AbortController();
	const items = generate(abort.signal);
	let open: Open;
	let isClosed = false;

	const close = () => {
		isClosed = true;
		openStreams.delete(open);
		abort.abort();
	};

	return new ReadableStream<Uint8Array>({
		start(controller) {
			open = {
				end() {
					close();
					controller.enqueue(encodeLine(lastLine));
					controller.close();
				},
			};
			openStreams.add(open);
		},
		async pull(controller) {
			const next = await items.next();
			if (isClosed) {
				return;
			}

			if (next.done) {
				close();
				controller.close();
				return;
			}

			controller.enqueue(encodeLine(toLine(next.value)));
		},
		async cancel() {
			close();
			await items.return(undefined);
		},
	});
}

function encodeLine(value: unknown): Uint8Array {
	return encoder.encode(`${JSON.stringify(value)}\n`);
}
