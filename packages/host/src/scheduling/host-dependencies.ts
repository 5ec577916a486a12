/**
What a scheduling host needs from outside, as ports: in production the users' platform, in tests
fakes.
*/
import {type Result, type ResultAsync} from 'neverthrow';
import {
	type CoordinationStore,
	type ExecutorRegistration,
	type ExecutorControl,
	type QueueTable,
	type StoreFailure,
} from '@gentianshift/scheduling';

/** The operators' configuration, as text that hosts pass on without parsing it. */
export type ConfigurationRead = {
	/** Undefined: there is no configuration yet, or it has not changed. */
	text?: string;
	/** The store's revision at the time of the read; the next watch starts after it. */
	revision: number;
};

export type QueueTableSource = {
	read: () => ResultAsync<ConfigurationRead, StoreFailure>;
	/** Waits for a change after a revision. */
	watch: (
		afterRevision: number,
		waitMs: number,
	) => ResultAsync<ConfigurationRead, StoreFailure>;
	/** The error says what is wrong with the text. */
	decode: (text: string) => Result<QueueTable, string>;
};

export type ExecutorSource = {
	/** The executors' registrations; `mayBeStale`: the list may be some seconds old. */
	list: (options?: {
		mayBeStale?: boolean;
	}) => ResultAsync<ExecutorRegistration[], StoreFailure>;
};

export type HostDependencies = {
	store: CoordinationStore;
	queueTables: QueueTableSource;
	executors: ExecutorSource;
	control: ExecutorControl;
};
