import assert from 'node:assert/strict';
import {test} from 'node:test';
import {formatFindings} from '@gentianshift/resources';
import {readHostSettings} from './host-settings.js';

const required = [
	'[host]',
	'name = m1',
	'data-centre = mieres',
	'[addresses]',
	'callers = 127.0.0.1:17001',
	'inner = 127.0.0.1:17002',
	'[platform]',
	'key-value = http://127.0.0.1:17000',
	'host-list = http://127.0.0.1:17000/hosts',
];

function makeText(...lines: string[]): string {
	return [...required, ...lines].join('\n');
}

function listFindings(text: string): string[] {
	const findings = readHostSettings(text, 'm1.ini')._unsafeUnwrapErr();
	return formatFindings(findings).split('\n');
}

test('the required keys alone get every default', () => {
	assert.deepEqual(readHostSettings(makeText(), 'm1.ini')._unsafeUnwrap(), {
		host: {name: 'm1', dataCentre: 'mieres'},
		addresses: {callers: '127.0.0.1:17001', inner: '127.0.0.1:17002'},
		platform: {
			keyValue: 'http://127.0.0.1:17000',
			hostList: 'http://127.0.0.1:17000/hosts',
			prefix: 'gentianshift/',
		},
		peers: {seeds: []},
		limits: {
			jobs: 20_000,
			queueTasks: 400_000,
			bodyBytes: 16_777_216,
			records: 200_000,
			claimsPerSecond: 50,
		},
		stop: {limitMs: 30_000},
		generations: {lengthMs: 300_000},
		log: {level: 'info'},
		traces: {exporter: 'none'},
	});
});

test('durations, sizes and lists are read with their units', () => {
	const settings = readHostSettings(
		makeText(
			'[peers]',
			'seeds = 127.0.0.1:1, 127.0.0.2:2',
			'[limits]',
			'body-bytes = 512KiB',
			'[stop]',
			'limit = 200ms',
			'[generations]',
			'length = 2m ; shorter than usual',
		),
		'm1.ini',
	)._unsafeUnwrap();
	assert.deepEqual(settings.peers.seeds, ['127.0.0.1:1', '127.0.0.2:2']);
	assert.equal(settings.limits.bodyBytes, 524_288);
	assert.equal(settings.stop.limitMs, 200);
	assert.equal(settings.generations.lengthMs, 120_000);
});

test('all findings come at once, each with file, line, key, what was found and what is allowed', () => {
	const findings = listFindings(
		makeText(
			'[log]',
			'level = loud',
			'lvl = info',
			'[stop]',
			'limit = 30 parsecs',
			'limit = 10s',
			'[traces]',
			'exporter = otlp',
			'[colours]',
			'rubbish',
		),
	);
	assert.deepEqual(findings, [
		'm1.ini:15: stop.limit: found "limit" again (first on line 14); allowed: once [duplicate-key]',
		'm1.ini:19: found "rubbish"; allowed: [section], key = value, or a comment after ; or # [malformed-line]',
		'm1.ini:18: colours: found an unknown section; allowed: host, addresses, platform, peers, limits, stop, generations, log, traces [unknown-section]',
		'm1.ini:11: log.level: found "loud"; allowed: one of trace, debug, info, warn, error, fatal [not-allowed]',
		'm1.ini:12: log.lvl: found an unknown key; allowed: level [unknown-key]',
		'm1.ini:16: traces.collector: missing; allowed: a URL, as exporter = otlp needs one [missing-key]',
	]);
});

test('an empty file is told each key that is missing', () => {
	assert.deepEqual(
		listFindings('').map((line) => line.split(': ')[1]),
		[
			'host.name',
			'host.data-centre',
			'addresses.callers',
			'addresses.inner',
			'platform.key-value',
			'platform.host-list',
		],
	);
});

for (const [line, allowed] of [
	['callers = 127.0.0.1:70000', 'IPV4:PORT with a port from 1 to 65535'],
	['inner = localhost:80', 'IPV4:PORT with a port from 1 to 65535'],
	['source = 300.0.0.1', 'an IPv4 address'],
] as const) {
	test(`"${line}" is not allowed`, () => {
		const [key] = line.split(' ');
		const kept = required.filter((other) => !other.startsWith(`${key} `));
		const text = [...kept.slice(0, 4), line, ...kept.slice(4)].join('\n');
		assert.equal(listFindings(text).length, 1);
		assert.ok(listFindings(text)[0]!.includes(`allowed: ${allowed}`));
	});
}
