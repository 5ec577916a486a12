/**
Spans: one for each hop of a job, under one trace id from the caller to the executor.
*/
import {randomBytes} from 'node:crypto';
import {
	ROOT_CONTEXT,
	SpanStatusCode,
	trace,
	type Attributes,
	type Context,
	type Span as SdkSpan,
} from '@opentelemetry/api';
import {parseTraceParent} from '@opentelemetry/core';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	AlwaysOnSampler,
	BasicTracerProvider,
	ParentBasedSampler,
	TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import {SpanBuffer} from './span-buffer.js';
import {
	createCollectorSender,
	createFileSender,
	type SpanSender,
} from './span-senders.js';

/** Milliseconds that a stopping host spends on the last spans. */
const shutdownLimitMs = 3000;

export type ExporterChoice =
	| {exporter: 'none'}
	| {exporter: 'file'; file: string}
	| {exporter: 'otlp'; collector: string};

export type TracerOptions = {
	host: string;
	dataCentre: string;
	/** Share of traces begun here that are recorded, 0 to 1; a caller's own choice goes first. */
	ratio?: number;
	/** Told how many spans were dropped, for the metric. */
	onDrop?: (count: number) => void;
};

export type Span = {
	/** W3C trace context to send on. */
	readonly traceparent: string;
	end: (result?: {attributes?: Attributes; error?: string}) => void;
};

export type Tracer = {
	startSpan: (
		name: string,
		options?: {traceparent?: string; attributes?: Attributes},
	) => Span;
	/** Spans dropped since the start. */
	getDropped: () => number;
	/** Sends what is left, for at most three seconds. */
	shutdown: () => Promise<void>;
};

/**
Makes the tracer of one host.

@example
const tracer = createTracer({exporter: 'otlp', collector: 'http://127.0.0.1:4318'}, {host: 'm1', dataCentre: 'mieres'});
const span = tracer.startSpan('submit', {traceparent: request.traceparent});
send({headers: {traceparent: span.traceparent}});
span.end({attributes: {tasks: 100}});
*/
export function createTracer(
	choice: ExporterChoice,
	options: TracerOptions,
): Tracer {
	switch (choice.exporter) {
		case 'none': {
			return createPassingTracer();
		}

		case 'file': {
			return createRecordingTracer(createFileSender(choice.file), options);
		}

		case 'otlp': {
			return createRecordingTracer(
				createCollectorSender(choice.collector),
				options,
			);
		}
	}
}

/** Records nothing: passes a given trace context on and makes one only if there is none. */
function createPassingTracer(): Tracer {
	return {
		startSpan: (_name, {traceparent} = {}) => ({
			traceparent: traceparent ?? makeTraceparent(),
			end: doNothing,
		}),
		getDropped: () => 0,
		async shutdown() {
			// Holds nothing.
		},
	};
}

function createRecordingTracer(
	sender: SpanSender,
	{host, dataCentre, ratio, onDrop}: TracerOptions,
): Tracer {
	const buffer = new SpanBuffer({send: sender.send, onDrop});
	const provider = new BasicTracerProvider({
		resource: resourceFromAttributes({
			'service.name': 'gentianshift',
			'service.instance.id': host,
			'gentianshift.data_centre': dataCentre,
		}),
		sampler: new ParentBasedSampler({
			root:
				ratio === undefined
					? new AlwaysOnSampler()
					: new TraceIdRatioBasedSampler(ratio),
		}),
		spanProcessors: [buffer],
	});
	const tracer = provider.getTracer('gentianshift');
	return {
		startSpan: (name, {traceparent, attributes} = {}) =>
			wrapSpan(tracer.startSpan(name, {attributes}, readContext(traceparent))),
		getDropped: () => buffer.dropped,
		async shutdown() {
			await waitAtMost(buffer.shutdown(), shutdownLimitMs);
			await sender.close();
		},
	};
}

function wrapSpan(span: SdkSpan): Span {
	const {traceId, spanId, traceFlags} = span.spanContext();
	return {
		traceparent: `00-${traceId}-${spanId}-${traceFlags === 0 ? '00' : '01'}`,
		end({attributes, error} = {}) {
			if (attributes) {
				span.setAttributes(attributes);
			}

			if (error !== undefined) {
				span.setStatus({code: SpanStatusCode.ERROR, message: error});
			}

			span.end();
		},
	};
}

/** A malformed trace context starts a new trace, as the W3C's page asks. */
function readContext(traceparent: string | undefined): Context {
	const parent =
		traceparent === undefined ? null : parseTraceParent(traceparent);
	return parent
		? trace.setSpanContext(ROOT_CONTEXT, {...parent, isRemote: true})
		: ROOT_CONTEXT;
}

function makeTraceparent(): string {
	const hex = randomBytes(24).toString('hex');
	return `00-${hex.slice(0, 32)}-${hex.slice(32)}-00`;
}

async function waitAtMost(work: Promise<void>, ms: number): Promise<void> {
	let timer: NodeJS.Timeout | undefined;
	const limit = new Promise<void>((resolve) => {
		timer = setTimeout(resolve, ms);
	});
	await Promise.race([work, limit]);
	clearTimeout(timer);
}

function doNothing(): void {
	// A span that isn't recorded has no end to note.
}
