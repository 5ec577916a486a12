/**
An executor, which runs tasks under a lease, as the scheduler of its group knows it.
*/
import {type TaskDemand} from '@gentianshift/protocol';

export type Executor = {
	/** Identifies the executor; after a restart the id is the same or another. */
	id: string;
	/**
	When the executor's process started, Unix milliseconds on the executor's clock. With the id it names one incarnation.
	Undefined: not stated; each process then has its own id.
	*/
	bornMs?: number;
	/** When this host first read that a later process has registered under the id; this host's clock. Undefined: it has not. */
	restartedAt?: number;
	/** `ip:port`. */
	address: string;
	dataCentre: string;
	service: string;
	/** A draining executor finishes its runs and gets no new ones. */
	isDraining: boolean;
	/** The least time until all that runs on a draining executor is killed, as of its registration; milliseconds. */
	remainingMs?: number;
	/**
	Whether the executor refuses a start that exceeds its capacity. If not, it starts every task it is sent, even
	beyond it.
	*/
	isCapacityEnforced: boolean;
	capacity: TaskDemand;
	/** What the executor says of its kind and place; jobs may require one. */
	labels?: readonly string[];
	/** When this host first read this capacity from the executor's newest registration; this host's clock. */
	capacityReadAt: number;
};

/** What an executor has registered about itself, as read from the store. */
export type ExecutorRegistration = Omit<
	Executor,
	'capacity' | 'isCapacityEnforced' | 'capacityReadAt' | 'restartedAt'
> & {
	/** Undefined: the registered capacity is not usable. */
	capacity: TaskDemand | undefined;
	/** Number that the executor gave to this registration; a later one has a higher number. */
	sequence?: number;
	/** The store's revision of the change that wrote this registration. */
	revision?: number;
};
