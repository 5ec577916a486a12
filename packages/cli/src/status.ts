/**
The live status of a resource in a few words; JSON output has all of it.
*/
import {z} from 'zod';

const keeperSchema = z.object({
	slots: z.number(),
	free: z.number(),
	queuedTasks: z.number(),
});

/** What hosts tell of themselves, by host: newest revision in force, and the slots they keep. */
const statusSchema = z.object({
	revisions: z.record(z.string(), z.number()),
	keepers: z.record(z.string(), keeperSchema).optional(),
});

type Keeper = z.infer<typeof keeperSchema>;

/**
Formats a status.

@example
formatStatus(7, {revisions: {m1: 7, t1: 6}, keepers: {m1: {slots: 80, free: 78, queuedTasks: 0}}});
// 'in force at 1/2 hosts, slots 78/80 free, 0 tasks queued'
*/
export function formatStatus(revision: number, status: unknown): string {
	const parsed = statusSchema.safeParse(status);
	if (!parsed.success) {
		return '-';
	}

	const hosts = Object.values(parsed.data.revisions);
	const current = hosts.filter((theirs) => theirs >= revision);
	const places = `in force at ${current.length}/${hosts.length} hosts`;
	const keepers = Object.values(parsed.data.keepers ?? {});
	return keepers.length === 0 ? places : `${places}, ${formatSlots(keepers)}`;
}

function formatSlots(keepers: readonly Keeper[]): string {
	const sum = (pick: (keeper: Keeper) => number) =>
		keepers.reduce((total, keeper) => total + pick(keeper), 0);
	const free = sum((keeper) => keeper.free);
	const slots = sum((keeper) => keeper.slots);
	const queued = sum((keeper) => keeper.queuedTasks);
	return `slots ${free}/${slots} free, ${queued} tasks queued`;
}
