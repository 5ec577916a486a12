/**
A bounded buffer between ended spans and their exporter.

A collector that is dead or slow would otherwise fill memory with spans, or make jobs wait for
it; one would notice by growing memory and response times after the collector failed. Here a
full buffer drops new spans and counts them, one batch at a time is under way, and a batch
that fails is dropped too: nothing of a job ever waits for a span.
*/
import {type ResultAsync} from 'neverthrow';
import {
	type ReadableSpan,
	type SpanProcessor,
} from '@opentelemetry/sdk-trace-base';

/** Spans kept at most: about 2 MB, some seconds of a busy host. */
const defaultCapacity = 4096;
/** Spans in one export: one request a second carries a host's usual load. */
const defaultBatchSize = 1024;
/** Milliseconds between exports: a person who looks at a trace waits no longer. */
const defaultIntervalMs = 1000;

/** Sends one batch; an error means that it is lost. */
export type SendSpans = (spans: ReadableSpan[]) => ResultAsync<void, Error>;

export type SpanBufferOptions = {
	send: SendSpans;
	/** Told how many spans were dropped. */
	onDrop?: (count: number) => void;
	capacity?: number;
	batchSize?: number;
	/** Milliseconds. */
	intervalMs?: number;
};

/** Collects ended spans and hands them on in batches. */
export class SpanBuffer implements SpanProcessor {
	/** Spans dropped since the start. */
	dropped = 0;
	readonly #options: Required<Omit<SpanBufferOptions, 'onDrop'>>;
	readonly #onDrop: ((count: number) => void) | undefined;
	readonly #timer: NodeJS.Timeout;
	readonly #spans: ReadableSpan[] = [];
	#sending: Promise<void> | undefined;

	constructor({onDrop, ...options}: SpanBufferOptions) {
		this.#onDrop = onDrop;
		this.#options = {
			capacity: defaultCapacity,
			batchSize: defaultBatchSize,
			intervalMs: defaultIntervalMs,
			...options,
		};
		this.#timer = setInterval(() => {
			this.#startSending();
		}, this.#options.intervalMs);
		this.#timer.unref();
	}

	onStart(): void {
		// Only ended spans are exported.
	}

	onEnd(span: ReadableSpan): void {
		if (this.#spans.length >= this.#options.capacity) {
			this.#countDropped(1);
			return;
		}

		this.#spans.push(span);
		if (this.#spans.length >= this.#options.batchSize) {
			this.#startSending();
		}
	}

	/** Sends what is held now, one batch after another; failing batches are dropped. */
	async forceFlush(): Promise<void> {
		await this.#sending;
		while (this.#spans.length > 0) {
			this.#startSending();
			await this.#sending;
		}
	}

	async shutdown(): Promise<void> {
		clearInterval(this.#timer);
		await this.forceFlush();
	}

	#startSending(): void {
		if (this.#sending !== undefined || this.#spans.length === 0) {
			return;
		}

		this.#sending = this.#sendBatch();
	}

	async #sendBatch(): Promise<void> {
		const batch = this.#spans.splice(0, this.#options.batchSize);
		const sent = await this.#options.send(batch);
		this.#sending = undefined;
		if (sent.isErr()) {
			this.#countDropped(batch.length);
		}
	}

	#countDropped(count: number): void {
		this.dropped += count;
		this.#onDrop?.(count);
	}
}
