/**
Plain tables for people; programs take `--output json`.
*/
import {type Kind, type SpecOf} from '@gentianshift/resources';
import {type View} from './replies.js';
import {formatStatus} from './status.js';

type Row = Record<string, string>;

/**
Lays rows out in columns as wide as their widest cell.

@example
formatTable([{NAME: 'cooks', WEIGHT: '2'}]); // 'NAME   WEIGHT\ncooks  2'
*/
export function formatTable(rows: readonly Row[]): string {
	const columns = Object.keys(rows[0] ?? {});
	const header = Object.fromEntries(columns.map((name) => [name, name]));
	const widths = columns.map((name) =>
		Math.max(...[header, ...rows].map((row) => (row[name] ?? '').length)),
	);
	return [header, ...rows]
		.map((row) =>
			columns
				.map((name, index) => (row[name] ?? '').padEnd(widths[index]!))
				.join('  ')
				.trimEnd(),
		)
		.join('\n');
}

/** One resource as a row: what is asked for most, then the live status. */
export function makeRow(kind: Kind, {resource, status}: View): Row {
	return {
		NAME: resource.name,
		REVISION: String(resource.revision),
		...describeSpec(kind, resource.spec),
		STATUS: formatStatus(resource.revision, status),
	};
}

function describeSpec(kind: Kind, spec: unknown): Row {
	switch (kind) {
		case 'services': {
			const {target, prefer, idempotent} = spec as SpecOf['services'];
			return {
				TARGET: target,
				PREFER: prefer,
				IDEMPOTENT: idempotent ? 'yes' : 'no',
			};
		}

		case 'teams': {
			const {weight, quota} = spec as SpecOf['teams'];
			return {WEIGHT: String(weight), QUOTA: String(quota ?? '-')};
		}

		case 'targets': {
			const {state, executors} = spec as SpecOf['targets'];
			const leaving = executors.filter((each) => each.state === 'leaving');
			return {
				STATE: state,
				EXECUTORS: String(executors.length),
				LEAVING: String(leaving.length),
			};
		}
	}
}
