/**
What lending and borrowing of slots need of the host, as functions passed in.
*/
import {type TeamShare} from '@gentianshift/decisions';
import {type Message} from '@gentianshift/protocol';
import {type Executor} from '@gentianshift/resources';

export type SlotPorts = {
	/** `<data centre>_<host>`. */
	hostKey: string;
	/** `<host key>.<incarnation>`: who borrows. */
	ownerId: string;
	dataCentre: string;
	/** Monotonic milliseconds. */
	now: () => number;
	/** Uniform in [0, 1). */
	random: () => number;
	/** Over this host's link to another host; false when there is none. */
	sendToHost: (hostKey: string, message: Message) => boolean;
	/** Over the session of an owner that dialled this host; false when there is none. */
	sendToOwner: (ownerId: string, message: Message) => boolean;
	/** The host that lends a target's executors in a data centre, as this host sees it. */
	findKeeper: (target: string, dataCentre: string) => string | undefined;
	/** All executors of a target in a data centre, leaving ones included. */
	listExecutors: (target: string, dataCentre: string) => readonly Executor[];
	/** Data centres where the target has executors that take work. */
	listDataCentres: (target: string) => readonly string[];
	/** An executor that takes work now; undefined when unknown or leaving. */
	findActive: (target: string, executor: string) => Executor | undefined;
	/** Whether the executor, or its target, or its worker, is leaving. */
	isLeaving: (target: string, executor: Executor) => boolean;
	/** Teams' shares, each quota cut to this data centre's part of the target's slots. */
	listShares: (target: string) => ReadonlyMap<string, TeamShare>;
	/** Other live hosts. */
	listPeers: () => readonly string[];
	countWasted: (reason: string, count?: number) => void;
	/** A line for each change of what a keeper or borrower believes. */
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** How long a borrower may start tasks after it asked for its lease. */
export const leaseTermMs = 1000;

/** How often a lease is asked for anew: one lost message must not end it. */
export const leaseRenewMs = 350;
