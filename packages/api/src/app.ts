/**
The routes of one host, for callers, operators and those who watch over its health.
*/
import {Hono} from 'hono';
import {type Problem} from '@gentianshift/resources';
import {
	addCallerRoutes,
	type Bindings,
	type CallerRouteOptions,
} from './caller-routes.js';
import {
	addOperatorRoutes,
	type OperatorRouteOptions,
} from './operator-routes.js';
import {type HealthPort} from './ports.js';
import {createProblem} from './problems.js';

export type AppOptions = CallerRouteOptions &
	OperatorRouteOptions & {
		health: HealthPort;
		/** Told of an exception in a route: a fault of ours. */
		onError?: (error: Error) => void;
	};

export function createApp(options: AppOptions): Hono<Bindings> {
	const app = new Hono<Bindings>();
	const {health, replies, onError} = options;
	const {sendJson, sendProblem, sendText} = replies;
	addCallerRoutes(app, options);
	addOperatorRoutes(app, options);
	app.get('/healthz', () => sendJson(200, {status: 'ok'}));
	app.get('/readyz', () =>
		health.isReady()
			? sendJson(200, {status: 'ready'})
			: sendJson(503, {status: 'not ready'}),
	);
	app.get('/metrics', async () =>
		sendText(
			200,
			await health.renderMetrics(),
			'text/plain; version=0.0.4; charset=utf-8',
		),
	);
	app.notFound((c) => sendProblem(describeNoRoute(c.req.method, c.req.path)));
	app.onError((error) => {
		onError?.(error);
		return sendProblem(createInternal());
	});
	return app;
}

/** A fault of ours after which nothing is known of the request's job. */
function createInternal(): Problem {
	return createProblem({
		status: 500,
		code: 'internal',
		detail: 'the host failed on this request; its log tells why',
		ran: 'unknown',
	});
}

function describeNoRoute(method: string, path: string): Problem {
	return createProblem({
		status: 404,
		code: 'unknown-route',
		detail: `${method} ${path.slice(0, 80)} is not served here`,
		ran: path.startsWith('/v1/jobs') ? 'unknown' : 'none',
	});
}
