/**
The layout of this host's data centre: how its executors are divided into groups. It lies in the store, written by the
holder of the first group, and holders tell it with their state.

The later revision counts, wherever it comes from. So a host that the store does not answer learns a new layout from
its peers, and a delayed message never brings an earlier one back.
*/
import {
	formatGroupName,
	getDataCentre,
	isSilent,
	singleGroupLayout,
	type CoordinationStore,
	type GroupDirectory,
	type GroupLayout,
	type StoreItem,
} from '@gentianshift/scheduling';
import {type GroupState} from '@gentianshift/protocol';
import {createOnceLog} from '@gentianshift/telemetry';
import {z} from 'zod';

const keyPrefix = 'gentianshift/layouts/';
/** For this long after a change, runs of earlier holders may go on outside their group: longer than tasks take. */
const recentChangeMs = 30_000;

const storedLayoutSchema = z.object({
	count: z.number().int().min(1),
	formerCount: z.number().int().min(1).optional(),
	changedAtMs: z.number(),
});

export type GroupLayouts = {
	/** The layout in force. */
	get: () => GroupLayout;
	/** How long this host has known the layout in force, milliseconds. */
	measureAge: () => number;
	/** Whether the layout was changed a short time ago. */
	isRecentlyChanged: () => boolean;
	/** Takes the layout over that a holder tells, if it is later than the known one. */
	noteState: (state: GroupState) => void;
	/** Reads the layout from the store. False: the store has not answered. */
	refresh: () => Promise<boolean>;
	/**
	Writes a new number of groups, if nobody else has written one and the first group's key has this revision still.
	*/
	write: (count: number, firstGroupRevision: number) => Promise<void>;
};

export type GroupLayoutsOptions = {
	dataCentre: string;
	store: Pick<CoordinationStore, 'readKey' | 'commit'>;
	groups: GroupDirectory;
	/** This host's key. */
	self: string;
	now: () => number;
	/** Milliseconds since 1970. */
	readWallClock: () => number;
	/** A later layout has been adopted. */
	onChange: () => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export function createGroupLayouts({
	dataCentre,
	store,
	groups,
	self,
	now,
	readWallClock,
	onChange,
	log,
}: GroupLayoutsOptions): GroupLayouts {
	const key = `${keyPrefix}${dataCentre}`;
	const logOnce = createOnceLog(log);
	let known = singleGroupLayout;
	let knownSince = -Infinity;

	function adopt(layout: GroupLayout, source: string): void {
		if (layout.revision <= known.revision) {
			return;
		}

		log('layout of the data centre adopted', {
			dataCentre,
			...layout,
			knownRevision: known.revision,
			knownCount: known.count,
			source,
		});
		known = layout;
		knownSince = now();
		onChange();
	}

	function adoptStored({value, revision}: StoreItem): void {
		const parsed = storedLayoutSchema.safeParse(parseJson(value));
		if (parsed.success) {
			adopt({revision, ...parsed.data}, 'store');
		} else {
			logOnce('layout in the store is not understood', key, {
				text: value,
				reason: z.prettifyError(parsed.error),
			});
		}
	}

	/**
	Whether the first group is held by a host of an earlier build, which schedules all executors of the data centre. A
	second scheduler would take executors away from it again and again.
	*/
	function isHeldAsWhole(): boolean {
		const first = groups.findGroup(formatGroupName(dataCentre, 1));
		return (
			first !== undefined &&
			first.holder !== self &&
			first.state.layout === undefined &&
			!first.state.isReleased &&
			!isSilent(first, now())
		);
	}

	return {
		get: () => (isHeldAsWhole() ? singleGroupLayout : known),
		measureAge: () => now() - knownSince,
		isRecentlyChanged: () =>
			known.revision > 0 &&
			Math.abs(readWallClock() - known.changedAtMs) < recentChangeMs,
		noteState(state) {
			if (state.layout && getDataCentre(state) === dataCentre) {
				adopt(state.layout, state.group);
			}
		},
		async refresh() {
			const item = await store.readKey(key);
			if (item.isErr()) {
				return false;
			}

			if (item.value) {
				adoptStored(item.value);
			}

			return true;
		},
		async write(count, firstGroupRevision) {
			const layout = {
				count,
				formerCount: known.count,
				changedAtMs: readWallClock(),
			};
			const result = await store.commit({
				expected: [
					{key, revision: known.revision},
					{
						key: `gentianshift/groups/${formatGroupName(dataCentre, 1)}`,
						revision: firstGroupRevision,
					},
				],
				write: [{key, value: JSON.stringify(layout), leaseId: 0}],
			});
			if (result.isOk()) {
				const {revision} = result.value;
				adopt({revision, ...layout}, 'this host');
			} else {
				log('layout is not written', {
					dataCentre,
					count,
					code: result.error.code,
					reason: result.error.message,
				});
			}
		},
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
