/**
Which data centres are evacuated: no task is started on their executors until operators take them
back. Read and watched in the store, and passed between hosts.

Hosts exchange all evacuations as of a revision of the store. A later revision replaces an earlier
one, so a late message never undoes a newer change, and a data centre that is taken back needs no
record of its own.
*/
import {type EvacuationList} from '@gentianshift/protocol';
import {type Background, type StartPermission} from '@gentianshift/scheduling';
import {type OperatorChange, type OperatorRead} from './host-dependencies.js';

/**
A host that knows of no list, from the store or from a peer, starts nothing for this long. Longer
than an answer of a slow store, and than it takes to connect to peers.
*/
const firstListLimitMs = 2000;

export type Evacuations = {
	/** Whether tasks may be started on the executors of this data centre. */
	getPermission: (dataCentre: string) => StartPermission;
	isEvacuated: (dataCentre: string) => boolean;
	/** The evacuated data centres. */
	list: () => string[];
	start: (signal: AbortSignal) => void;
	/** Handles a read of the whole list. */
	applyRead: (read: Pick<OperatorRead, 'evacuated' | 'revision'>) => void;
	/** Handles changes since the last read or change. */
	applyChange: (
		change: Pick<OperatorChange, 'evacuationChanges' | 'revision'>,
	) => void;
	/** Handles a peer's list. */
	receive: (list: EvacuationList) => void;
	/** What this host knows, for peers; undefined: nothing yet. */
	getList: () => EvacuationList | undefined;
};

export type EvacuationsOptions = {
	/** Some data centre was evacuated or taken back, or the first list is known. */
	onChange: () => void;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	background: Background;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export function createEvacuations({
	onChange,
	wait,
	background,
	log,
}: EvacuationsOptions): Evacuations {
	let known: EvacuationList | undefined;
	/** No list has come in time: none is taken to be evacuated until one comes. */
	let isAssumedEmpty = false;

	function isEvacuated(dataCentre: string): boolean {
		return known?.dataCentres.includes(dataCentre) ?? false;
	}

	function applyList(list: EvacuationList, origin: 'store' | 'peer'): void {
		if (known && list.revision <= known.revision) {
			return;
		}

		const former = known;
		known = list;
		const formerDataCentres = former?.dataCentres ?? [];
		const started = list.dataCentres.filter(
			(name) => !formerDataCentres.includes(name),
		);
		const ended = formerDataCentres.filter((name) => !isEvacuated(name));
		for (const dataCentre of started) {
			log('data centre is evacuated', {
				group: dataCentre,
				revision: list.revision,
				origin,
			});
		}

		for (const dataCentre of ended) {
			log('data centre is taken back', {
				group: dataCentre,
				revision: list.revision,
				origin,
			});
		}

		if (!former || started.length > 0 || ended.length > 0) {
			onChange();
		}
	}

	async function waitForFirstList(signal: AbortSignal): Promise<void> {
		await wait(firstListLimitMs, signal);
		if (!known && !signal.aborted) {
			isAssumedEmpty = true;
			log('evacuations are not known: none is assumed', {
				afterMs: firstListLimitMs,
			});
			onChange();
		}
	}

	return {
		getPermission(dataCentre) {
			if (isEvacuated(dataCentre)) {
				return 'evacuated';
			}

			const isKnown = known !== undefined || isAssumedEmpty;
			return isKnown ? 'granted' : 'unknown';
		},
		isEvacuated,
		list: () => known?.dataCentres ?? [],
		start(signal) {
			background.run({work: 'first list of evacuations'}, async () =>
				waitForFirstList(signal),
			);
		},
		applyRead({evacuated, revision}) {
			applyList({revision, dataCentres: evacuated}, 'store');
		},
		applyChange({evacuationChanges, revision}) {
			const dataCentres = new Set(known?.dataCentres);
			for (const change of evacuationChanges) {
				// A peer's list may hold this change and later ones.
				if (change.revision <= (known?.revision ?? 0)) {
					continue;
				}

				if (change.isEvacuated) {
					dataCentres.add(change.dataCentre);
				} else {
					dataCentres.delete(change.dataCentre);
				}
			}

			applyList({revision, dataCentres: [...dataCentres]}, 'store');
		},
		receive(list) {
			applyList(list, 'peer');
		},
		getList: () => known,
	};
}
