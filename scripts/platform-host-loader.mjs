/**
Takes the place of the platform's adapter in the bundle that its hosts run: loads the adapter from
a file of its own, together with the code that the build has compiled already.

What goes wrong without: a host that is back after a loss of power compiles 0.7 MB on a fraction of a
core while its callers wait, and goes on compiling with their first requests. Code that does not fit
this Node or its flags is refused by it, and the file is compiled as usual.
*/
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {Script} from 'node:vm';

const folder = path.dirname(fileURLToPath(import.meta.url));
const file = path.join(folder, 'platform-host.cjs');

function readCompiled() {
	try {
		return readFileSync(path.join(folder, 'platform-host.compiled'));
	} catch {
		return undefined;
	}
}

const source = readFileSync(file, 'utf8');
const script = new Script(source, {filename: file, cachedData: readCompiled()});
const loaded = {exports: {}};
script.runInThisContext()(
	loaded.exports,
	createRequire(import.meta.url),
	loaded,
	file,
	folder,
);

export const {servePlatform} = loaded.exports;
