/**
What a scheduling host needs from outside, as ports: the users' platform in production, stand-ins
in tests.
*/
import {type Result, type ResultAsync} from 'neverthrow';
import {
	type CoordinationStore,
	type ExecutorWord,
	type ExecutorControl,
	type QueueTable,
	type StoreFailure,
} from '@gentianshift/scheduling';

/** The operators' configuration, as text that hosts pass on to one another unread. */
export type ConfigurationRead = {
	/** Undefined: there is none yet, or it has not changed. */
	text?: string;
	/** The store's revision at the time: the next watch goes on from there. */
	revision: number;
};

export type QueueTableSource = {
	read: () => ResultAsync<ConfigurationRead, StoreFailure>;
	/** Waits for a change after a revision. */
	watch: (
		afterRevision: number,
		waitMs: number,
	) => ResultAsync<ConfigurationRead, StoreFailure>;
	/** An error says what is wrong with the text. */
	decode: (text: string) => Result<QueueTable, string>;
};

export type ExecutorSource = {
	/** What executors say of themselves; `mayBeStale`: as of some seconds ago. */
	list: (options?: {
		mayBeStale?: boolean;
	}) => ResultAsync<ExecutorWord[], StoreFailure>;
};

export type Surroundings = {
	store: CoordinationStore;
	queueTables: QueueTableSource;
	executors: ExecutorSource;
	control: ExecutorControl;
};
