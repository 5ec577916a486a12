export {
	type Executor,
	type ExecutorRegistration as ExecutorWord,
} from './executor.js';
export {type EntryPeers} from './copy-recall.js';
export * from './crash-records.js';
export * from './process-id.js';
export * from './entry-job.js';
export * from './entry-jobs.js';
export type * from './executor-control.js';
export {type Entry} from './group-job.js';
export * from './group-directory.js';
export * from './group-scheduler.js';
export * from './queue-table.js';
export * from './run-times.js';
export * from './timing.js';
export * from './choose-holder.js';
export * from './succession.js';
export type * from './coordination-store.js';
export * from './fencing-token.js';
