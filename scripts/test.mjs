/**
Runs the tests with Node's own runner: all of them, or those whose file path holds a given word.

Usage: `npm test`, `npm test -- decisions`. Tests between processes run one file at a time,
because they share the machine's processors; the others run side by side.
*/
import {spawnSync} from 'node:child_process';
import {readdirSync} from 'node:fs';
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

function runTests(list, concurrency) {
	if (list.length === 0) {
		return 0;
	}

	const args = [
		'--import',
		'tsx',
		'--test',
		`--test-concurrency=${concurrency}`,
		// A test that hangs fails instead of holding up the run.
		'--test-timeout=120000',
		'--test-reporter=spec',
	];
	return (
		spawnSync(process.execPath, [...args, ...list], {stdio: 'inherit'})
			.status ?? 1
	);
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
