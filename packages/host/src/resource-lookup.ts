/**
The configuration in force, as the dispatch packages ask for it: typed specs, executors by data
centre, what is leaving. Worked out anew only after a change.
*/
import {type TeamShare} from '@gentianshift/decisions';
import {type ResourceTable} from '@gentianshift/configuration';
import {
	serviceSpecSchema,
	targetSpecSchema,
	teamSpecSchema,
	type Executor,
	type Kind,
	type ServiceSpec,
	type SpecOf,
	type TargetSpec,
	type TeamSpec,
} from '@gentianshift/resources';

type TargetView = {
	spec: TargetSpec;
	byName: Map<string, Executor>;
	byDataCentre: Map<string, Executor[]>;
};

type Specs = {[K in Kind]: Map<string, SpecOf[K]>};

export class ResourceLookup {
	readonly #table: ResourceTable;
	readonly #isWorkerLeaving: (address: string) => boolean;
	readonly #specs: Specs = {
		services: new Map(),
		teams: new Map(),
		targets: new Map(),
	};

	readonly #targets = new Map<string, TargetView>();

	constructor(
		table: ResourceTable,
		isWorkerLeaving: (address: string) => boolean,
	) {
		this.#table = table;
		this.#isWorkerLeaving = isWorkerLeaving;
		table.subscribe(({kind, name}) => {
			this.#refresh(kind, name);
		});
	}

	findService(name: string): ServiceSpec | undefined {
		return this.#specs.services.get(name);
	}

	hasTeam(name: string): boolean {
		return this.#specs.teams.has(name);
	}

	listTargets(): string[] {
		return [...this.#targets.keys()];
	}

	/** Targets with executors in a data centre. */
	listTargetsIn(dataCentre: string): string[] {
		return this.listTargets().filter(
			(target) => this.listExecutors(target, dataCentre).length > 0,
		);
	}

	listExecutors(target: string, dataCentre: string): readonly Executor[] {
		return this.#targets.get(target)?.byDataCentre.get(dataCentre) ?? [];
	}

	/** Executors of a target in all data centres that take work. */
	listActive(target: string): Executor[] {
		const view = this.#targets.get(target);
		return view
			? [...view.byName.values()].filter(
					(executor) => !this.isLeaving(target, executor),
				)
			: [];
	}

	/** Data centres where a target has executors that take work. */
	listDataCentres(target: string): string[] {
		return [
			...new Set(this.listActive(target).map(({dataCentre}) => dataCentre)),
		].toSorted();
	}

	findActive(target: string, name: string): Executor | undefined {
		const executor = this.#targets.get(target)?.byName.get(name);
		return executor && !this.isLeaving(target, executor) ? executor : undefined;
	}

	/** The operator said so of the target or the executor, or the platform's list of its worker. */
	isLeaving(target: string, executor: Executor): boolean {
		const view = this.#targets.get(target);
		return (
			view?.spec.state !== 'active' ||
			executor.state === 'leaving' ||
			this.#isWorkerLeaving(executor.address)
		);
	}

	/**
	Teams' shares at a keeper. A quota counts slots over all data centres; each keeper holds the
	part that its data centre has of the target's slots, rounded up, so that no message between
	data centres is needed to keep it.
	*/
	listShares(target: string, dataCentre: string): Map<string, TeamShare> {
		const part = this.#computePart(target, dataCentre);
		const shares = new Map<string, TeamShare>();
		for (const [name, {weight, quota}] of this.#specs.teams) {
			shares.set(name, {
				weight,
				quota: quota === undefined ? undefined : Math.ceil(quota * part),
			});
		}

		return shares;
	}

	#computePart(target: string, dataCentre: string): number {
		const executors = this.listActive(target);
		const all = sumSlots(executors);
		const here = sumSlots(
			executors.filter((executor) => executor.dataCentre === dataCentre),
		);
		return all === 0 ? 1 : here / all;
	}

	#refresh(kind: Kind, name: string): void {
		const spec = this.#table.get({kind, name})?.spec;
		switch (kind) {
			case 'services': {
				setSpec(this.#specs.services, name, parseSpec(serviceSpecSchema, spec));
				break;
			}

			case 'teams': {
				setSpec<TeamSpec>(
					this.#specs.teams,
					name,
					parseSpec(teamSpecSchema, spec),
				);
				break;
			}

			case 'targets': {
				const target = parseSpec(targetSpecSchema, spec);
				setSpec(this.#specs.targets, name, target);
				setSpec(this.#targets, name, target && viewTarget(target));
				break;
			}
		}
	}
}

function setSpec<T>(
	map: Map<string, T>,
	name: string,
	spec: T | undefined,
): void {
	if (spec === undefined) {
		map.delete(name);
	} else {
		map.set(name, spec);
	}
}

function parseSpec<T>(
	schema: {
		safeParse: (value: unknown) => {success: true; data: T} | {success: false};
	},
	spec: unknown,
): T | undefined {
	const parsed =
		spec === undefined || spec === null ? undefined : schema.safeParse(spec);
	return parsed?.success ? parsed.data : undefined;
}

function viewTarget(spec: TargetSpec): TargetView {
	const byName = new Map(
		spec.executors.map((executor) => [executor.name, executor] as const),
	);
	const byDataCentre = new Map<string, Executor[]>();
	for (const executor of spec.executors) {
		const list = byDataCentre.get(executor.dataCentre) ?? [];
		list.push(executor);
		byDataCentre.set(executor.dataCentre, list);
	}

	return {spec, byName, byDataCentre};
}

function sumSlots(executors: readonly Executor[]): number {
	let sum = 0;
	for (const {slots} of executors) {
		sum += slots;
	}

	return sum;
}
