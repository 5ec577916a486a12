/**
How the platform stand-in misbehaves, and what it counts; told over its control port.
*/
import {z} from 'zod';

export const faultModeSchema = z.enum([
	'ok',
	/** Every connection is closed at once, before anything is read. */
	'down',
	/** Every request is handled `ms` late. */
	'slow',
	/** Transactions and leases take effect, then the connection is closed without a reply. */
	'drop-reply',
	/** Connections stay open; requests and watches get nothing more. */
	'silent',
	/** Like `silent`, for the connections that are open now only; new ones work. */
	'silent-open',
	/** Watches get each event `ms` late. */
	'late-events',
]);

export const faultSchema = z.object({
	/** Absent: all data centres. */
	dataCentre: z.string().optional(),
	mode: faultModeSchema,
	/** Delay of `slow` and `late-events`, milliseconds. */
	ms: z.number().int().min(0).default(0),
	/** What `drop-reply` turns into at that data centre after the first reply dropped. */
	next: faultModeSchema.optional(),
});

/** For each data centre, addresses by which its hosts reach the listed ones, as through a relay. */
export const viewsSchema = z.record(
	z.string(),
	z.record(z.string(), z.string()),
);

export type Fault = z.infer<typeof faultSchema>;
export type FaultMode = z.infer<typeof faultModeSchema>;
export type Views = z.infer<typeof viewsSchema>;

/** Calls by kind, and by the caller's IP address and kind; watches that wait now. */
export type CallCounts = {
	byKind: Record<string, number>;
	byAddress: Record<string, Record<string, number>>;
	waitingWatches: Record<string, number>;
};

export function createCounts() {
	const counts: CallCounts = {byKind: {}, byAddress: {}, waitingWatches: {}};
	return {
		counts,
		countCall(kind: string, address: string): void {
			counts.byKind[kind] = (counts.byKind[kind] ?? 0) + 1;
			counts.byAddress[address] ??= {};
			const ofAddress = counts.byAddress[address];
			ofAddress[kind] = (ofAddress[kind] ?? 0) + 1;
		},
		changeWaiting(address: string, difference: number): void {
			counts.waitingWatches[address] =
				(counts.waitingWatches[address] ?? 0) + difference;
		},
	};
}
