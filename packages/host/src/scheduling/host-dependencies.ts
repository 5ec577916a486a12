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

/** All that operators have written. */
export type OperatorRead = {
	/**
	The configuration, as text that hosts pass on without parsing it. Undefined: there is none yet.
	*/
	configuration?: string;
	/** The data centres that are evacuated. */
	evacuated: string[];
	/** The store's revision at the time of the read; the next watch starts after it. */
	revision: number;
};

/** What operators have changed since the revision after which a watch started. */
export type OperatorChange = {
	/** Undefined: the configuration has not changed. */
	configuration?: string;
	/** In the order in which they were made. */
	evacuationChanges: EvacuationChange[];
	/** As in `OperatorRead`. */
	revision: number;
};

export type EvacuationChange = {
	dataCentre: string;
	/** False: the data centre was taken back. */
	isEvacuated: boolean;
	/** The store's revision of the change. */
	revision: number;
};

export type OperatorSource = {
	read: () => ResultAsync<OperatorRead, StoreFailure>;
	/** Waits for a change after a revision. */
	watch: (
		afterRevision: number,
		waitMs: number,
	) => ResultAsync<OperatorChange, StoreFailure>;
	/** Decodes the configuration; the error says what is wrong with the text. */
	decode: (text: string) => Result<QueueTable, string>;
};

export type RegistrationList = {
	registrations: ExecutorRegistration[];
	/** The store's revision up to which all changes are in the list; later ones may be. */
	revision: number;
};

export type ExecutorSource = {
	/** The executors' registrations; `mayBeStale`: the list may be some seconds old. */
	list: (options?: {
		mayBeStale?: boolean;
	}) => ResultAsync<RegistrationList, StoreFailure>;
};

export type HostDependencies = {
	store: CoordinationStore;
	operators: OperatorSource;
	executors: ExecutorSource;
	control: ExecutorControl;
};
