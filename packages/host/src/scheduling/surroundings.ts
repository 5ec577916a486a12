/**
What a scheduling host needs from outside, as ports: the users' platform in production, stand-ins
in tests.
*/
import {type Result, type ResultAsync} from 'neverthrow';
import {
	type CoordinationStore,
	type Executor,
	type ExecutorControl,
	type QueueTable,
	type StoreFailure,
} from '@gentianshift/scheduling';

/** The operators' configuration, as text that hosts pass on to one another unread. */
export type ConfigurationText = {text: string; revision: number};

export type QueueTableSource = {
	/** Undefined: there is none yet. */
	read: () => ResultAsync<ConfigurationText | undefined, StoreFailure>;
	/** The newest after a revision; undefined: nothing changed within the wait. */
	watch: (
		afterRevision: number,
		waitMs: number,
	) => ResultAsync<ConfigurationText | undefined, StoreFailure>;
	/** An error says what is wrong with the text. */
	decode: (text: string) => Result<QueueTable, string>;
};

export type ExecutorSource = {
	list: (options?: {
		mayBeStale?: boolean;
	}) => ResultAsync<Executor[], StoreFailure>;
};

export type Surroundings = {
	store: CoordinationStore;
	queueTables: QueueTableSource;
	executors: ExecutorSource;
	control: ExecutorControl;
};
