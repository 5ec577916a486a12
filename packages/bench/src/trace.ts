/**
Recorded traces: NDJSON, a header with the outcome to reach, then one job a line.
*/
import {readFileSync} from 'node:fs';
import {type Result, ok, err} from 'neverthrow';
import {z} from 'zod';
import {serviceSpecSchema, teamSpecSchema} from '@gentianshift/resources';

/** What happens at a time of the trace (milliseconds from its begin) besides jobs. */
export const traceEventSchema = z.discriminatedUnion('do', [
	z.strictObject({
		at: z.number(),
		do: z.literal('mode'),
		executor: z.string(),
		mode: z.enum(['ok', 'fail', 'silent', 'slow']),
		factor: z.number().default(1),
	}),
	z.strictObject({at: z.number(), do: z.literal('kill'), host: z.string()}),
]);

/** A bound that a measure has to keep. */
export const expectationSchema = z.strictObject({
	measure: z.string(),
	atMost: z.number().optional(),
	atLeast: z.number().optional(),
});

/** First line of a trace. */
export const traceHeaderSchema = z.strictObject({
	trace: z.string(),
	about: z.string(),
	seed: z.number().int(),
	durationMs: z.number(),
	/** One way between data centres, milliseconds. */
	delayMs: z.number(),
	dataCentres: z.array(z.string()),
	/** By name; each target has 10 executors of 8 slots and 60 connections a data centre, or none. */
	targets: z.record(z.string(), z.enum(['full', 'empty'])),
	services: z.record(z.string(), serviceSpecSchema),
	teams: z.record(z.string(), teamSpecSchema),
	events: z.array(traceEventSchema),
	/** Also replayed without its events, for measures that compare with a calm run. */
	compareCalm: z.boolean().default(false),
	expect: z.array(expectationSchema),
});

/** One job: when it is submitted, by whom, and how long each task truly runs. */
export const traceJobSchema = z.strictObject({
	/** Milliseconds from the trace's begin. */
	at: z.number(),
	service: z.string(),
	team: z.string(),
	/** Jobs of one class are measured together. */
	class: z.string().optional(),
	/** True run time of each task, milliseconds. */
	tasks: z.array(z.number().int()).min(1),
	deadlineMs: z.number().int().optional(),
	/** The caller's balancer knows only the hosts of this data centre. */
	dataCentre: z.string().optional(),
	/** The caller cancels then, milliseconds from the trace's begin. */
	cancelAt: z.number().optional(),
});

export type TraceEvent = z.infer<typeof traceEventSchema>;
export type Expectation = z.infer<typeof expectationSchema>;
export type TraceHeader = z.infer<typeof traceHeaderSchema>;
export type TraceJob = z.infer<typeof traceJobSchema>;
export type Trace = {header: TraceHeader; jobs: TraceJob[]};
export type TraceError = {code: 'unreadable-trace'; message: string};

export function formatTrace({header, jobs}: Trace): string {
	return [header, ...jobs].map((line) => `${JSON.stringify(line)}\n`).join('');
}

/** Reads a trace's file; the error names the line. */
export function readTrace(file: string): Result<Trace, TraceError> {
	let line = 0;
	try {
		const [first = '', ...rest] = readFileSync(file, 'utf8')
			.trimEnd()
			.split('\n');
		const header = traceHeaderSchema.parse(JSON.parse(first));
		const jobs = rest.map((text) => {
			line++;
			return traceJobSchema.parse(JSON.parse(text));
		});
		return ok({header, jobs});
	} catch (error) {
		const message = `${file}:${line + 1}: ${String(error)}`;
		return err({code: 'unreadable-trace', message});
	}
}

/** Slots of the full targets together: 10 executors of 8 slots in each data centre. */
export function countSlots({dataCentres, targets}: TraceHeader): number {
	const full = Object.values(targets).filter((size) => size === 'full');
	return full.length * dataCentres.length * executorsPerDataCentre * slotsEach;
}

/** The brief's sizes: 30 executors over three data centres, with 8 slots and 60 connections. */
export const executorsPerDataCentre = 10;
export const slotsEach = 8;
export const connectionsEach = 60;
