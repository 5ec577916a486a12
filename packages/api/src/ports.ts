/**
What the HTTP layer needs of the host, as functions passed in: it knows no jobs, slots or sockets.
*/
import {type Result} from 'neverthrow';
import {
	type JobAnswer,
	type JobReply,
	type Kind,
	type Problem,
	type Resource,
	type Submission,
} from '@gentianshift/resources';

export type SubmitRequest = {
	/** Absent: the host makes one. */
	id?: string;
	/** 1 when the caller names none; raised by a caller who comes back after a refusal. */
	attempt: number;
	submission: Submission;
	/** Milliseconds to wait for the whole answer; 0: answer with the state at once. */
	waitMs: number;
	/** W3C trace context of the caller's span. */
	traceparent?: string;
};

export type CallerPort = {
	/** The issuer text that ids may be made under now. */
	getIssuer: () => string;
	submitJob: (request: SubmitRequest) => Promise<JobReply>;
	queryJob: (request: {
		id: string;
		waitMs: number;
		traceparent?: string;
	}) => Promise<JobReply>;
	cancelJob: (request: {id: string; traceparent?: string}) => Promise<JobReply>;
	/** Yields the job's state on each change (thinned out), its final answer or problem last. */
	watchJob: (request: {
		id: string;
		signal: AbortSignal;
	}) => AsyncGenerator<JobReply>;
};

export type ChangeRequest = {
	kind: Kind;
	name: string;
	/** Null deletes. Already checked by the kind's schema. */
	spec: unknown;
	/** Change only if this is the revision in force; 0: only if absent; absent: any. */
	expectRevision?: number;
	/** Random; found again by `findChange` after a lost reply. */
	changeId: string;
};

/** `code` is conflict (409), unknown-outcome (504, with the change id) or platform-down (503). */
export type ChangeProblem = Problem & {changeId?: string; revision?: number};

/** Live state beside a spec: revisions in force at each host, queue, slots. */
export type ResourceView = {
	resource: Resource;
	status?: Record<string, unknown>;
};
export type ResourceEvent = {
	type: 'spec' | 'status' | 'deleted' | 'reconnect';
	view?: ResourceView;
};

export type OperatorPort = {
	listResources: (kind: Kind) => ResourceView[];
	getResource: (kind: Kind, name: string) => ResourceView | undefined;
	changeResource: (
		request: ChangeRequest,
	) => Promise<Result<Resource, ChangeProblem>>;
	findChange: (
		kind: Kind,
		name: string,
		changeId: string,
	) => Promise<Result<'in-force' | 'replaced' | 'not-found', ChangeProblem>>;
	/** Yields all present ones first, then changes of spec and status as they happen. */
	watchResources: (
		kind: Kind,
		name: string | undefined,
		signal: AbortSignal,
	) => AsyncGenerator<ResourceEvent>;
	/** Live and leaving hosts, as this host sees them. */
	listHosts: () => unknown[];
};

export type HealthPort = {
	isReady: () => boolean;
	/** Prometheus text. */
	renderMetrics: () => Promise<string>;
};
