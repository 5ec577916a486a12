/**
An executor that runs tasks under a lease, as the scheduler of its group knows it.
*/
import {type TaskDemand} from '@gentianshift/protocol';

export type Executor = {
	/** One life of the executor's process: a restart brings another id. */
	id: string;
	/** `ip:port`. */
	address: string;
	dataCentre: string;
	service: string;
	/** A draining executor ends what runs there and gets nothing new. */
	isDraining: boolean;
	/** It refuses what its capacity doesn't hold; one that doesn't starts whatever it is told to. */
	isGuarded: boolean;
	capacity: TaskDemand;
	/** When this host first read that capacity as the executor's newest word; this host's clock. */
	saidAt: number;
};

/** What an executor says of itself, as one list of the store has it. */
export type ExecutorWord = Omit<
	Executor,
	'capacity' | 'isGuarded' | 'saidAt'
> & {
	/** Undefined: what it says can't be used. */
	capacity: TaskDemand | undefined;
	/** The executor's own number of the word. */
	sequence?: number;
	/** The store's number of the change that wrote it. */
	revision?: number;
};
