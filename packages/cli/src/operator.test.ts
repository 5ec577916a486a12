import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test, type TestContext} from 'node:test';
import {type Resource} from '@gentianshift/resources';
import {
	type FakeReply,
	type FakeRequest,
	runRecorded,
	startFakeHost,
} from './fixtures.js';
import {formatStatus} from './status.js';

type Stored = Omit<Resource, 'spec'> & {
	spec: {state?: string; executors?: Array<{state: string}>; target?: string};
};

/** A store of resources behind the API, as a host would show it. */
function createStore() {
	const items = new Map<string, Stored>();
	let revision = 0;
	const handle = ({method, path: url, body}: FakeRequest): FakeReply => {
		const [kind, name] = url.split('/').slice(2);
		const key = `${kind}/${name}`;
		const found = items.get(key);
		if (method === 'GET' && url.includes('/changes/')) {
			return found?.changeId === url.split('/').at(-1)
				? {status: 200, body: {state: 'in-force'}}
				: {status: 200, body: {state: 'not-found'}};
		}

		if (method === 'GET' && name === undefined) {
			const views = [...items.values()].filter((each) => each.kind === kind);
			return {
				status: 200,
				body: {items: views.map((resource) => ({resource}))},
			};
		}

		if (method === 'GET') {
			return found
				? {status: 200, body: {resource: found}}
				: {status: 404, body: makeProblem(404, 'not-found')};
		}

		if (body.resourceVersion !== (found?.revision ?? 0)) {
			return {status: 409, body: makeProblem(409, 'conflict')};
		}

		revision++;
		const stored = {kind, name, ...body, revision} as unknown as Stored;
		items.set(key, stored);
		return {status: 200, body: stored};
	};

	return {items, handle};
}

function makeProblem(status: number, code: string) {
	return {title: code, status, detail: 'told by the test', code, ran: 'none'};
}

function makeDirectory(context: TestContext, text: string): string {
	const dir = mkdtempSync(path.join(tmpdir(), 'gentianshift-'));
	writeFileSync(path.join(dir, 'kitchen.ini'), text);
	context.after(() => {
		rmSync(dir, {recursive: true});
	});
	return dir;
}

const kitchen = `
[target kitchens]
[executor e1]
target = kitchens
address = 127.0.0.1:17100
data-centre = mieres
slots = 8
connections = 60
[service meals]
target = kitchens
`;

async function startStore(
	context: TestContext,
	change: (
		request: FakeRequest,
		handle: (request: FakeRequest) => FakeReply,
	) => FakeReply = (request, handle) => handle(request),
) {
	const store = createStore();
	const host = await startFakeHost((request) => change(request, store.handle));
	context.after(host.stop);
	return {store, host};
}

test('apply creates what is declared, is idempotent, and shows differences in a dry run', async (context) => {
	const {host, store} = await startStore(context);
	const dir = makeDirectory(context, kitchen);
	const args = ['apply', '-f', dir, '--host', host.url];
	const first = await runRecorded(args);
	assert.equal(first.error, '');
	assert.equal(
		first.out,
		'+ targets/kitchens: in-force\n+ services/meals: in-force',
	);
	const again = await runRecorded(args);
	assert.equal(
		again.out,
		'  targets/kitchens: unchanged\n  services/meals: unchanged',
	);

	writeFileSync(
		path.join(dir, 'kitchen.ini'),
		kitchen.replace('slots = 8', 'slots = 4'),
	);
	const dry = await runRecorded([...args, '--dry-run']);
	assert.match(dry.out, /^~ targets\/kitchens: not changed \(dry run\)$/mv);
	assert.match(dry.out, /^ {4}executors\.e1\.slots: 8 -> 4$/mv);
	assert.equal(store.items.get('targets/kitchens')!.revision, 1);
});

test('apply tells all findings before it asks any host', async (context) => {
	const {host} = await startStore(context);
	const dir = makeDirectory(
		context,
		'[team cooks]\nweight = x\nqota = 3\n[tem y]\n',
	);
	const {code, error} = await runRecorded([
		'apply',
		'-f',
		dir,
		'--host',
		host.url,
	]);
	assert.equal(code, 2);
	assert.equal(error.split('\n').length, 3);
	assert.deepEqual(host.requests, []);
});

test('a service whose target is neither declared nor in force is a finding of apply', async (context) => {
	const {host} = await startStore(context);
	const dir = makeDirectory(context, '[service meals]\ntarget = kitchens\n');
	const args = ['apply', '-f', dir, '--host', host.url];
	const {code, error} = await runRecorded(args);
	assert.equal(code, 2);
	assert.match(error, /kitchen\.ini:1: .*\[undeclared-target\]/v);
});

// The commit reached the store, but the answer got lost on the way back. Sent again blindly it
// could undo another operator's change; the user would see an old spec in force again.
test('a change whose answer is lost is found again by its id and not sent twice', async (context) => {
	let drops = 0;
	const {host} = await startStore(context, (request, handle) => {
		const reply = handle(request);
		const isDropped = request.method === 'PUT' && drops++ === 0;
		return isDropped ? 'drop' : reply;
	});
	const dir = makeDirectory(context, kitchen);
	const {code, out, error} = await runRecorded([
		'apply',
		'-f',
		dir,
		'--host',
		host.url,
	]);
	assert.equal(code, 0);
	assert.match(error, /targets\/kitchens: outcome unknown, asking for change/v);
	assert.match(out, /\+ targets\/kitchens: in-force/v);
	const puts = host.requests.filter(({method}) => method === 'PUT');
	assert.deepEqual(
		puts.map((request) => request.path),
		['/v1/targets/kitchens', '/v1/services/meals'],
	);
});

// Two operators change the same target at once. The slower one must see that its change was
// not made, rather than overwrite what it has not seen.
test('a racing change is reported as a conflict and exits with 1', async (context) => {
	const {host} = await startStore(context, (request, handle) =>
		request.method === 'PUT'
			? {status: 409, body: makeProblem(409, 'conflict')}
			: handle(request),
	);
	const dir = makeDirectory(context, kitchen);
	const args = ['apply', '-f', dir, '--host', host.url];
	const {code, error} = await runRecorded(args);
	assert.equal(code, 1);
	assert.match(error, /targets\/kitchens: conflict/v);
});

test('drain sets an executor or a whole target leaving, once', async (context) => {
	const {host, store} = await startStore(context);
	const dir = makeDirectory(context, kitchen);
	await runRecorded(['apply', '-f', dir, '--host', host.url]);
	const one = ['drain', 'target', 'kitchens', 'executor', 'e1'];
	const drained = await runRecorded([...one, '--host', host.url]);
	assert.equal(drained.out, 'targets/kitchens executor e1: leaving (in-force)');
	const again = await runRecorded([...one, '--host', host.url]);
	assert.equal(again.out, 'targets/kitchens executor e1: leaving already');
	await runRecorded(['drain', '--host', host.url, 'target', 'kitchens']);
	const {spec} = store.items.get('targets/kitchens')!;
	assert.equal(spec.state, 'leaving');
	assert.equal(spec.executors![0]!.state, 'leaving');
	const absent = await runRecorded([
		'drain',
		'target',
		'x',
		'--host',
		host.url,
	]);
	assert.equal(absent.code, 1);
});

test('get lists resources as a table or as JSON', async (context) => {
	const {host} = await startStore(context);
	const dir = makeDirectory(context, kitchen);
	await runRecorded(['apply', '-f', dir, '--host', host.url]);
	const table = await runRecorded(['get', 'targets', '--host', host.url]);
	assert.equal(
		table.out,
		'NAME      REVISION  STATE   EXECUTORS  LEAVING  STATUS\n' +
			'kitchens  1         active  1          0        -',
	);
	const args = ['get', 'service', 'meals', '--output', 'json'];
	const view = await runRecorded([...args, '--host', host.url]);
	const {resource} = JSON.parse(view.out) as {resource: Stored};
	assert.equal(resource.spec.target, 'kitchens');
});

test('a status is told in a few words', () => {
	const status = {
		revisions: {m1: 7, t1: 6},
		keepers: {
			m1: {slots: 80, free: 78, queuedTasks: 2},
			t1: {slots: 80, free: 0, queuedTasks: 1},
		},
	};
	assert.equal(
		formatStatus(7, status),
		'in force at 1/2 hosts, slots 78/160 free, 3 tasks queued',
	);
	assert.equal(formatStatus(7, undefined), '-');
});
