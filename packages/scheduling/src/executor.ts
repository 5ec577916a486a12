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
	capacity: TaskDemand;
};
