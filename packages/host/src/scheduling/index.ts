export {
	startSchedulingHost,
	type SchedulingHost,
	type SchedulingHostOptions,
} from './start-scheduling-host.js';
export type * from './host-dependencies.js';
