/**
Holds that work which nobody awaits is started by `background.ts`.
*/
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';

const root = path.resolve(import.meta.dirname, '../../..');

/** Files that start work without awaiting it, and why an exception there ends no process of a scheduling host. */
const exceptions: Record<string, string> = {
	'packages/scheduling/src/background.ts': 'this is the place',
	'packages/cli/src/main.ts': 'the program itself: an exception ends it',
	'packages/api/src/server.ts': 'the HTTP library answers exceptions with 500',
	'platform/src/http-servers.ts':
		'the HTTP library answers exceptions with 500',
	'platform/src/executor-calls.ts': 'a result that is logged',
	'packages/executors/src/executor-pools.ts':
		"not checked; the product's own interface only",
	'packages/resource-store/src/name-claims.ts':
		"not checked; the product's own interface only",
};

/** Only run in tests, or by hand. */
const testPackages = new Set(['bench', 'standins', 'trials']);

function listSources(): string[] {
	const packages = readdirSync(path.join(root, 'packages'))
		.filter((name) => !testPackages.has(name))
		.map((name) => `packages/${name}`);
	return [...packages, 'platform'].flatMap((name) =>
		readdirSync(path.join(root, name, 'src'), {
			recursive: true,
			encoding: 'utf8',
		})
			.filter((file) => /(?<!\.test|\.fixture|fixtures|\.d)\.ts$/v.test(file))
			.map((file) => `${name}/src/${file}`),
	);
}

// Guards against a loop or a call whose exception is an unhandled rejection, which ends the host with all that it does for others.
test('no work is started with `void` but in the files that say why', () => {
	const found = listSources().filter((file) =>
		/^\s*void [\w.#]+[\(?]/mv.test(readFileSync(path.join(root, file), 'utf8')),
	);
	assert.deepEqual(found.toSorted(), Object.keys(exceptions).toSorted());
});
