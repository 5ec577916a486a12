/**
An executor, which runs tasks under a lease, as the scheduler of its group knows it.
*/
import {type TaskDemand} from '@gentianshift/protocol';

export type Executor = {
	/** Identifies one process of the executor: after a restart the id is another. */
	id: string;
	/** `ip:port`. */
	address: string;
	dataCentre: string;
	service: string;
	/** A draining executor finishes its runs and gets no new ones. */
	isDraining: boolean;
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
	'capacity' | 'isCapacityEnforced' | 'capacityReadAt'
> & {
	/** Undefined: the registered capacity is not usable. */
	capacity: TaskDemand | undefined;
	/** Number that the executor gave to this registration; a later one has a higher number. */
	sequence?: number;
	/** The store's revision of the change that wrote this registration. */
	revision?: number;
};
