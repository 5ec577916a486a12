/**
Builds the one binary: an esbuild bundle, made a single executable with Node's own runtime.

Usage: `node scripts/build.mjs`. Result: `dist/gentianshift` and `dist/gentianshift.cjs`.
`node scripts/build.mjs target` makes the bundle alone, `target/gentianshift.cjs`.
*/
import {execFileSync} from 'node:child_process';
import {
	chmodSync,
	copyFileSync,
	mkdirSync,
	readFileSync,
	writeFileSync,
} from 'node:fs';
import process from 'node:process';
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

mkdirSync(outFolder, {recursive: true});
async function bundle(entry, outfile) {
	await build({
		entryPoints: [entry],
		bundle: true,
		platform: 'node',
		target: 'node20',
		minify: isTargetOnly,
		keepNames: isTargetOnly,
		format: 'cjs',
		outfile,
		plugins: [leaveOut],
		logLevel: 'warning',
	});
}

await bundle('packages/cli/src/main.ts', `${outFolder}/gentianshift.cjs`);
if (isTargetOnly) {
	process.exit(0);
}

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
