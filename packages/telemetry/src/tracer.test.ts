import assert from 'node:assert/strict';
import {once} from 'node:events';
import {mkdtemp, readFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {text} from 'node:stream/consumers';
import {test, type TestContext} from 'node:test';
import {createTracer} from './tracer.js';

const parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';
const here = {host: 'm1', dataCentre: 'mieres'};

type SentSpan = {
	name: string;
	traceId: string;
	spanId: string;
	parentSpanId: string;
	status: {message: string};
};

function readSpans(body: string): SentSpan[] {
	const sent = JSON.parse(body) as {
		resourceSpans: Array<{scopeSpans: Array<{spans: SentSpan[]}>}>;
	};
	return sent.resourceSpans[0]!.scopeSpans[0]!.spans;
}

async function startCollector(
	t: TestContext,
	answer: (body: string) => number | undefined,
): Promise<string> {
	const server = createServer((req, res) => {
		void (async () => {
			const status = answer(await text(req));
			if (status !== undefined) {
				res.writeHead(status).end('{}');
			}
		})();
	});
	t.after(() => {
		server.closeAllConnections();
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return `http://127.0.0.1:${port}`;
}

test('without exporter a given trace context is passed on and an absent one is made', () => {
	const tracer = createTracer({exporter: 'none'}, here);
	assert.equal(
		tracer.startSpan('a', {traceparent: parent}).traceparent,
		parent,
	);
	assert.match(
		tracer.startSpan('a').traceparent,
		/^00-[\da-f]{32}-[\da-f]{16}-00$/v,
	);
});

test('a collector gets spans of one trace, child under parent', async (t) => {
	const bodies: string[] = [];
	const collector = await startCollector(t, (body) => {
		bodies.push(body);
		return 200;
	});
	const tracer = createTracer({exporter: 'otlp', collector}, here);
	const span = tracer.startSpan('submit', {traceparent: parent});
	const child = tracer.startSpan('forward', {traceparent: span.traceparent});
	child.end({error: 'owner gone'});
	span.end({attributes: {tasks: 3}});
	await tracer.shutdown();
	const spans = readSpans(bodies[0]!);
	assert.equal(spans[0]!.traceId, parent.slice(3, 35));
	assert.equal(spans[0]!.parentSpanId, spans[1]!.spanId);
	assert.equal(spans[0]!.status.message, 'owner gone');
	assert.equal(spans[1]!.parentSpanId, 'b7ad6b7169203331');
	assert.equal(tracer.getDropped(), 0);
});

test('a file gets one batch of spans a line', async () => {
	const file = path.join(await mkdtemp(path.join(tmpdir(), 'spans-')), 'a');
	const tracer = createTracer({exporter: 'file', file}, here);
	tracer.startSpan('submit').end();
	await tracer.shutdown();
	const line = await readFile(file, 'utf8');
	assert.equal(readSpans(line)[0]!.name, 'submit');
});

test('a dead collector costs spans, counted, and neither memory nor time', async () => {
	// The collector's host is gone while jobs go on. Without a bound, memory grows with each
	// span until the host dies; a user would see all its jobs fail.
	let told = 0;
	const tracer = createTracer(
		{exporter: 'otlp', collector: 'http://127.0.0.1:1'},
		{
			...here,
			onDrop(count) {
				told += count;
			},
		},
	);
	for (let i = 0; i < 20_000; i++) {
		tracer.startSpan('task').end();
	}

	assert.ok(tracer.getDropped() >= 10_000);
	await tracer.shutdown();
	assert.equal(tracer.getDropped(), 20_000);
	assert.equal(told, 20_000);
});

test('a collector that never answers does not keep a stopping host', async (t) => {
	// A collector that takes the connection and then hangs: a host that waited for it
	// would never end its planned stop.
	const collector = await startCollector(t, () => undefined);
	const tracer = createTracer({exporter: 'otlp', collector}, here);
	tracer.startSpan('task').end();
	await tracer.shutdown();
});
