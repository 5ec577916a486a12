/**
Runs the tests with Node's own runner: all of them, or those whose file path holds a given word.

Usage: `npm test`, `npm test -- decisions`. Tests between processes run one file at a time,
because they share the machine's processors; the others run side by side.
*/
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readdirSync, readFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

const word = process.argv[2] ?? '';

function listTests(dir) {
	return readdirSync(dir, {withFileTypes: true, recursive: true})
		.filter((entry) => entry.isFile() && entry.name.endsWith('.test.ts'))
		.map((entry) => path.join(entry.parentPath ?? entry.path, entry.name))
		.filter((file) => !file.includes('node_modules') && file.includes(word))
		.toSorted();
}

const files = [...listTests('packages'), ...listTests('platform')];
if (files.length === 0) {
	process.stderr.write(`no test file's path holds "${word}"\n`);
	process.exit(1);
}

/** Tests that `KNOWN-RED.txt` lists, by their names in double quotes: CI passes over just these. */
function listKnownRed() {
	const text = existsSync('KNOWN-RED.txt')
		? readFileSync('KNOWN-RED.txt', 'utf8')
		: '';
	return [...text.matchAll(/"(?<name>[^"]+)"/gv)].map(
		({groups}) => groups.name,
	);
}

function listFailed(file) {
	const found = readFileSync(file, 'utf8').matchAll(
		/^\s*not ok \d+ - (?<name>.+)$/gmv,
	);
	return [...found].map(({groups}) => groups.name);
}

/** 0 when all that failed is known; never for a run that ended without a failed test. */
function judgeFailed(status, file) {
	const failed = listFailed(file);
	const known = listKnownRed();
	const isKnown =
		failed.length > 0 && failed.every((name) => known.includes(name));
	return isKnown ? 0 : status;
}

function runTests(list, concurrency) {
	if (list.length === 0) {
		return 0;
	}

	const results = path.join(
		mkdtempSync(path.join(os.tmpdir(), 'tests-')),
		'results.tap',
	);
	const args = [
		'--import',
		'tsx',
		'--test',
		`--test-concurrency=${concurrency}`,
		// A test that hangs fails instead of holding up the run. The longest files play drawn plans for two minutes on a busy machine.
		'--test-timeout=300000',
		'--test-reporter=spec',
		'--test-reporter-destination=stdout',
		'--test-reporter=tap',
		`--test-reporter-destination=${results}`,
	];
	const {status} = spawnSync(process.execPath, [...args, ...list], {
		stdio: 'inherit',
	});
	return status === 0 ? 0 : judgeFailed(status ?? 1, results);
}

const isTrial = (file) => file.includes(`${path.sep}trials${path.sep}`);
const unitStatus = runTests(
	files.filter((file) => !isTrial(file)),
	4,
);
const trialStatus = runTests(
	files.filter((file) => isTrial(file)),
	1,
);
process.exit(unitStatus === 0 ? trialStatus : unitStatus);
