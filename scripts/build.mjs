/**
Builds the one binary: an esbuild bundle, made a single executable with Node's own runtime.

Usage: `node scripts/build.mjs`. Result: `dist/gentianshift` and `dist/gentianshift.cjs`.
`node scripts/build.mjs target` makes what the users' platform runs: `target/gentianshift.mjs`, and the
host's code beside it, compiled.
*/
import {execFileSync} from 'node:child_process';
import {
	chmodSync,
	copyFileSync,
	mkdirSync,
	readFileSync,
	writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {Script} from 'node:vm';
import {build} from 'esbuild';
import {inject} from 'postject';

/** The users' platform runs the bundle by Node itself and takes nothing but this folder. */
const isTargetOnly = process.argv[2] === 'target';
const outFolder = isTargetOnly ? 'target' : 'dist';

const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/** What libraries try to load and do without: the binary can load built-in modules only. */
const absent = String.raw`^(?:cbor-extract|dtrace-provider|mv|node:sqlite|source-map-support)$`;
const leaveOut = {
	name: 'leave-out',
	setup(steps) {
		// esbuild reads patterns by Go's syntax and takes no flags of JavaScript's.
		// eslint-disable-next-line require-unicode-regexp
		const filter = new RegExp(absent);
		steps.onResolve({filter}, ({path}) => ({
			path,
			namespace: 'left-out',
		}));
		steps.onLoad({filter, namespace: 'left-out'}, ({path}) => ({
			contents: `throw new Error('${path} is left out of the binary');`,
		}));
	},
};

/**
For the users' platform, whose hosts have a fraction of a core to start with: of the HTTP client
only the pool, of the schema library only the English texts. Halves what is loaded.
*/
const slim = {
	name: 'slim',
	setup(steps) {
		// eslint-disable-next-line require-unicode-regexp
		steps.onResolve({filter: /^undici$/}, ({importer}) =>
			importer.includes(`${path.sep}platform${path.sep}src`)
				? {path: path.resolve('scripts/undici-pool.cjs')}
				: undefined,
		);
		// eslint-disable-next-line require-unicode-regexp
		steps.onLoad({filter: /zod\/v4\/locales\/index\.js$/}, () => ({
			contents: "export {default as en} from './en.js';",
		}));
	},
};

mkdirSync(outFolder, {recursive: true});
async function bundle(entry, outfile) {
	await build({
		entryPoints: [entry],
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'cjs',
		outfile,
		plugins: [leaveOut],
		logLevel: 'warning',
	});
}

const hostFile = path.join(outFolder, 'platform-host.cjs');

/** The entry of the platform's hosts loads the adapter with its compiled code. */
const loadCompiled = {
	name: 'load-compiled',
	setup(steps) {
		// eslint-disable-next-line require-unicode-regexp
		steps.onResolve({filter: /^@gentianshift\/platform-adapter$/}, () => ({
			path: path.resolve('scripts/platform-host-loader.mjs'),
		}));
	},
};

/** One file for each way to run: the platform's host loads nothing of the command line. */
async function bundleTarget() {
	const common = {
		bundle: true,
		platform: 'node',
		target: 'node20',
		minify: true,
		logLevel: 'warning',
	};
	await build({
		...common,
		entryPoints: ['platform/src/index.ts'],
		format: 'cjs',
		outfile: hostFile,
		// The wrapper that Node puts around a module, as the loader runs the file itself.
		banner: {
			js: '(function (exports, require, module, __filename, __dirname) {',
		},
		footer: {js: '})'},
		plugins: [leaveOut, slim],
	});
	await build({
		...common,
		entryPoints: {gentianshift: 'packages/cli/src/main.ts'},
		format: 'esm',
		splitting: true,
		outdir: outFolder,
		outExtension: {'.js': '.mjs'},
		chunkNames: '[name]-[hash]',
		banner: {
			js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
		},
		plugins: [leaveOut, slim, loadCompiled],
	});
	writeFileSync(
		path.join(outFolder, 'platform-host.compiled'),
		compileWhole(readFileSync(hostFile, 'utf8')),
	);
}

/** Every function, not only those that run at once; the flag is taken back, as code is bound to the flags. */
function compileWhole(source) {
	setFlagsFromString('--no-lazy');
	const script = new Script(source, {filename: path.resolve(hostFile)});
	setFlagsFromString('--lazy');
	return script.createCachedData();
}

if (isTargetOnly) {
	await bundleTarget();
	process.exit(0);
}

await bundle('packages/cli/src/main.ts', 'dist/gentianshift.cjs');
// For the load tool only: no part of the product.
await bundle('packages/bench/src/baseline-host.ts', 'dist/baseline-host.cjs');
const sea = {
	main: 'dist/gentianshift.cjs',
	output: 'dist/gentianshift.blob',
	disableExperimentalSEAWarning: true,
};
writeFileSync('dist/sea.json', JSON.stringify(sea));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
	stdio: 'ignore',
});
copyFileSync(process.execPath, 'dist/gentianshift');
chmodSync('dist/gentianshift', 0o755);
await inject(
	'dist/gentianshift',
	'NODE_SEA_BLOB',
	readFileSync('dist/gentianshift.blob'),
	{sentinelFuse: fuse},
);
process.stdout.write('built dist/gentianshift\n');
