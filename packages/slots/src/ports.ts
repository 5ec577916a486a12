/**
The host's functions that lending and borrowing of slots depend on.

A keeper is the host that lends the slots of one target's executors in one data centre. A borrower is
a host whose jobs use these slots. Each host is identified by its host key, and each process of a host
by its owner ID.
*/
import {type TeamShare} from '@gentianshift/decisions';
import {type Message} from '@gentianshift/protocol';
import {type Executor} from '@gentianshift/resources';

export type SlotPorts = {
	/** `<data centre>_<host>`. */
	hostKey: string;
	/** `<host key>.<incarnation>`: identifies this process of the host as a borrower. */
	ownerId: string;
	dataCentre: string;
	/** Monotonic milliseconds. */
	now: () => number;
	/** Uniform in [0, 1). */
	random: () => number;
	/** Sends over this host's link to another host. Returns false when there is no link. */
	sendToHost: (hostKey: string, message: Message) => boolean;
	/** Sends over the session that an owner has opened to this host. Returns false when there is no session. */
	sendToOwner: (ownerId: string, message: Message) => boolean;
	/** Host key of a target's keeper in a data centre, according to this host's view, which may be outdated. */
	findKeeper: (target: string, dataCentre: string) => string | undefined;
	/** All executors of a target in a data centre, including those that are leaving. */
	listExecutors: (target: string, dataCentre: string) => readonly Executor[];
	/** Data centres where the target has executors that accept tasks. */
	listDataCentres: (target: string) => readonly string[];
	/** The executor of that name if it accepts tasks; undefined when it is unknown or leaving. */
	findActiveExecutor: (
		target: string,
		executor: string,
	) => Executor | undefined;
	/** Whether the executor, its target or its worker is leaving. */
	isLeaving: (target: string, executor: Executor) => boolean;
	/** Shares by team. Each quota is scaled to this data centre's part of the target's slots. */
	listShares: (target: string) => ReadonlyMap<string, TeamShare>;
	/** Host keys of the other live hosts. */
	listPeerHosts: () => readonly string[];
	countWasted: (reason: string, count?: number) => void;
	/** Writes a log line for each change in the state of a keeper or borrower. */
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** Time in milliseconds that a borrower may start tasks after it has sent an answered lease request. */
export const leaseTermMs = 1000;

/** Interval in milliseconds between lease requests: short enough that one lost message doesn't end the lease. */
export const leaseRenewIntervalMs = 350;
