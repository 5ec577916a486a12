/**
`get`: shows resources with their live status.
*/
import {type Kind} from '@gentianshift/resources';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type HostOptions} from '../host-options.js';
import {getResource, listResources} from '../operator.js';
import {type Failure, type View} from '../replies.js';
import {formatTable, makeRow} from '../table.js';
import {type Terminal} from '../terminal.js';
import {reportFailure} from '../report.js';

export async function get(
	terminal: Terminal,
	kind: Kind,
	name: string | undefined,
	{host, output}: HostOptions,
): Promise<ExitCode> {
	if (name === undefined) {
		const views = await listResources(host, kind);
		return views.match(
			(found) => {
				writeViews(terminal, kind, found, output);
				return exitCodes.ok;
			},
			(failure: Failure) => reportFailure(terminal, failure),
		);
	}

	const view = await getResource(host, kind, name);
	return view.match(
		(found) => {
			if (found === undefined) {
				terminal.writeError(`${kind}/${name}: not found`);
				return exitCodes.failed;
			}

			if (output === 'json') {
				terminal.writeOut(JSON.stringify(found, undefined, 2));
			} else {
				writeViews(terminal, kind, [found], output);
			}

			return exitCodes.ok;
		},
		(failure) => reportFailure(terminal, failure),
	);
}

function writeViews(
	{writeOut, writeError}: Terminal,
	kind: Kind,
	views: View[],
	output: HostOptions['output'],
): void {
	if (output === 'json') {
		writeOut(JSON.stringify({items: views}, undefined, 2));
	} else if (views.length === 0) {
		writeError(`no ${kind}`);
	} else {
		writeOut(formatTable(views.map((view) => makeRow(kind, view))));
	}
}
