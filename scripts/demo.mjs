/**
Runs a whole small system and one job: a platform stand-in, the executors of both examples as
stand-ins, three entry hosts in three data centres. It declares the examples' services, submits
a job of 300 tasks, shows the answer and its timing, asks another host for the same job, and
stops everything.

Usage: `node scripts/demo.mjs`, after `npm run build`. Exit code 0 when all of it went well.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream,
	mkdirSync,
	openSync,
	readdirSync,
	readFileSync,
} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';

const program = 'dist/gentianshift';
const platformUrl = 'http://127.0.0.1:17000';
const platformControl = 'http://127.0.0.1:17050';
const examples = ['examples/rancho-minero', 'examples/broggi-caruso'];
const hosts = [
	{name: 'mieres-1', dataCentre: 'mieres', port: 17_001, inner: 17_011},
	{name: 'langreo-1', dataCentre: 'langreo', port: 17_002, inner: 17_012},
	{name: 'tineo-1', dataCentre: 'tineo', port: 17_003, inner: 17_013},
];
const urls = hosts.map(({port}) => `http://127.0.0.1:${port}`);
const logDirectory = 'results/demo';
const taskCount = 300;
const taskMs = 100;

/** The demo takes a few seconds; one that hangs is ended. */
const limitMs = 90_000;
const startLimitMs = 20_000;
const stopLimitMs = 20_000;
const pollMs = 50;

const children = [];

function startChild(name, command, args) {
	const log = openSync(`${logDirectory}/${name}.log`, 'w');
	const child = spawn(command, args, {stdio: ['ignore', 'pipe', log]});
	children.push({name, child});
	child.once('error', (error) => {
		say(`${name}: ${error.message}`);
	});
	return child;
}

/** Stand-ins write one JSON line as soon as they listen. */
async function waitForListening(child) {
	const lines = createInterface({input: child.stdout});
	const [line] = await once(lines, 'line', {
		signal: AbortSignal.timeout(startLimitMs),
	});
	return JSON.parse(line);
}

function startStandin(name, args) {
	return startChild(name, process.execPath, [
		'--import',
		'tsx',
		`packages/standins/src/${name}-main.ts`,
		...args,
	]);
}

async function startPlatform() {
	const control = new URL(platformControl).port;
	const {port} = new URL(platformUrl);
	const args = ['--port', port, '--control', control];
	await waitForListening(startStandin('platform', args));
	const list = hosts.map(({name, dataCentre, inner}) => ({
		name,
		dataCentre,
		role: 'entry',
		address: `127.0.0.1:${inner}`,
		state: 'live',
	}));
	await fetch(`${platformControl}/control/hosts`, {
		method: 'PUT',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({hosts: list}),
	});
	say(`platform stand-in at ${platformUrl}`);
}

/** One process plays all executors that the examples declare. */
async function startExecutors() {
	const executors = examples
		.flatMap((dir) => readdirSync(dir).map((file) => `${dir}/${file}`))
		.flatMap((file) => listExecutors(readFileSync(file, 'utf8')));
	const args = executors.flatMap((executor) => ['--executor', executor]);
	await waitForListening(startStandin('executor', args));
	say(`${executors.length} executor stand-ins`);
}

function listExecutors(text) {
	const pattern =
		/^\[executor (?<name>[^\]]+)\]$(?:(?!^\[)[\s\S])*?^address = (?<address>\S+)$(?:(?!^\[)[\s\S])*?^slots = (?<slots>\d+)$/gmv;
	return [...text.matchAll(pattern)].map(
		({groups}) => `${groups.name}=${groups.address}:${groups.slots}`,
	);
}

async function startHosts() {
	for (const {name, dataCentre} of hosts) {
		const settings = `examples/hosts/${dataCentre}.ini`;
		const host = startChild(name, program, ['serve', '--settings', settings]);
		host.stdout.pipe(createWriteStream(`${logDirectory}/${name}.jsonl`));
	}

	await Promise.all(urls.map(async (url) => waitForOk(`${url}/readyz`)));
	say(`entry hosts at ${urls.join(', ')}`);
}

async function waitForOk(url) {
	const end = Date.now() + startLimitMs;
	while (Date.now() < end) {
		const isOk = await probe(url);
		if (isOk) {
			return;
		}

		await delay(pollMs);
	}

	throw new Error(`${url} is not ready after ${startLimitMs} ms`);
}

async function probe(url) {
	try {
		const reply = await fetch(url);
		await reply.text();
		return reply.ok;
	} catch {
		return false;
	}
}

/** Runs the command line and gives what it wrote. */
async function runProgram(args, {input = '', isShown = true} = {}) {
	if (isShown) {
		say(`$ gentianshift ${args.join(' ')}`);
	}

	const env = {...process.env, GENTIANSHIFT_HOSTS: urls.join(',')};
	const child = spawn(program, args, {
		stdio: ['pipe', 'pipe', 'inherit'],
		env,
	});
	child.stdin.end(input);
	let output = '';
	child.stdout.setEncoding('utf8').on('data', (text) => {
		output += text;
	});
	const [code] = await once(child, 'close');
	if (code !== 0) {
		throw new Error(`gentianshift ${args[0]} exited with ${code}: ${output}`);
	}

	return output;
}

async function declareExamples() {
	const args = examples.flatMap((dir) => ['-f', dir]);
	process.stdout.write(await runProgram(['apply', ...args]));
	await Promise.all(
		urls.map(async (url) => waitForOk(`${url}/v1/services/meals`)),
	);
	process.stdout.write(await runProgram(['get', 'services']));
	process.stdout.write(await runProgram(['get', 'targets']));
}

async function submitMeals() {
	const tasks = Array.from({length: taskCount}, (_, i) =>
		JSON.stringify({ms: taskMs, value: `menu ${i + 1}`}),
	);
	const job = ['--service', 'meals', '--team', 'cooks', '--output', 'json'];
	const text = await runProgram(['submit', ...job], {input: tasks.join('\n')});
	const answer = JSON.parse(text);
	const isWhole = answer.results?.every(
		({value}, i) => value === `menu ${i + 1}`,
	);
	if (answer.results?.length !== taskCount || !isWhole) {
		throw new Error(`the answer is not whole: ${text.slice(0, 500)}`);
	}

	const idealMs = Math.ceil(taskCount / 240) * taskMs;
	say(
		`${answer.state}: ${answer.results.length} results, in task order (the tasks alone on 240 slots: ${idealMs} ms)`,
	);
	return answer.id;
}

async function askElsewhere(id) {
	const args = ['job', id, '--host', urls[2], '--output', 'json'];
	const text = await runProgram(args);
	const {state, results} = JSON.parse(text);
	say(`asked at another host: ${state}, ${results.length} results`);
}

/** The answer's results go to standard output, one a line. */
async function submitTwoTasks() {
	const tasks = ['{"ms": 50, "value": "soup"}', '{"ms": 50, "value": "stew"}'];
	const job = ['--service', 'meals', '--team', 'cooks'];
	const input = tasks.join('\n');
	process.stdout.write(await runProgram(['submit', ...job], {input}));
}

/** Hosts stop gracefully; their exit code 0 is part of the demo. */
async function stopAll() {
	for (const {name, child} of children.toReversed()) {
		if (child.exitCode !== null || child.signalCode !== null) {
			continue;
		}

		const ended = once(child, 'exit', {
			signal: AbortSignal.timeout(stopLimitMs),
		});
		child.kill('SIGTERM');
		const [code] = await ended;
		if (code !== 0) {
			throw new Error(`${name} ended with ${code}`);
		}
	}

	say(`stopped everything; the logs are in ${logDirectory}`);
}

function killAll() {
	for (const {child} of children) {
		child.kill('SIGKILL');
	}
}

function say(line) {
	process.stdout.write(`${line}\n`);
}

setTimeout(() => {
	say(`the demo did not end within ${limitMs} ms`);
	killAll();
	process.exit(1);
}, limitMs).unref();

mkdirSync(logDirectory, {recursive: true});
try {
	await startPlatform();
	await startExecutors();
	await startHosts();
	await declareExamples();
	await submitTwoTasks();
	await askElsewhere(await submitMeals());
	await stopAll();
} catch (error) {
	say(`demo failed: ${error.message}`);
	process.exitCode = 1;
} finally {
	killAll();
}
