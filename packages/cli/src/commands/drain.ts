/**
`drain`: lets a target, or one of its executors, get no new work. What runs there ends in peace.
*/
import {type Executor, type TargetSpec} from '@gentianshift/resources';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type HostOptions} from '../host-options.js';
import {updateResource} from '../operator.js';
import {reportChangeFailure} from '../report.js';
import {type Terminal} from '../terminal.js';

export async function drain(
	terminal: Terminal,
	target: string,
	executor: string | undefined,
	{host}: HostOptions,
): Promise<ExitCode> {
	const title =
		executor === undefined
			? `targets/${target}`
			: `targets/${target} executor ${executor}`;
	let isKnown = true;
	const outcome = await updateResource(
		host,
		{kind: 'targets', name: target},
		(spec) => {
			const {executors} = spec as TargetSpec;
			isKnown =
				executor === undefined || executors.some(({name}) => name === executor);
			return isKnown ? setLeaving(spec as TargetSpec, executor) : undefined;
		},
		terminal.writeError,
	);
	if (outcome.isErr()) {
		return reportChangeFailure(terminal, title, outcome.error);
	}

	if (outcome.value === 'absent' || !isKnown) {
		terminal.writeError(`${title}: not found`);
		return exitCodes.failed;
	}

	terminal.writeOut(
		outcome.value === 'unchanged'
			? `${title}: leaving already`
			: `${title}: leaving (${outcome.value})`,
	);
	return exitCodes.ok;
}

/** The spec with the target or one executor leaving; undefined where it is so already. */
function setLeaving(
	spec: TargetSpec,
	executor: string | undefined,
): TargetSpec | undefined {
	if (executor === undefined) {
		return spec.state === 'leaving' ? undefined : {...spec, state: 'leaving'};
	}

	const isLeaving = (each: Executor) =>
		each.name === executor && each.state === 'leaving';
	return spec.executors.some((each) => isLeaving(each))
		? undefined
		: {
				...spec,
				executors: spec.executors.map((each) =>
					each.name === executor ? {...each, state: 'leaving'} : each,
				),
			};
}
