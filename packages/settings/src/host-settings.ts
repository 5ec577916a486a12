/**
A host's settings: one INI file read at start. Durations are milliseconds, sizes bytes.
*/
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {type Finding, maxBodyBytes} from '@gentianshift/resources';
import {
	defineAddresses,
	defineAddress,
	defineCount,
	defineDuration,
	defineIpAddress,
	defineName,
	definePattern,
	defineSize,
	defineUrl,
	defineWord,
} from './fields.js';
import {type IniDocument, parseIni} from './ini-document.js';
import {readSection} from './section.js';

const hostSection = z
	.strictObject({name: defineName(), 'data-centre': defineName()})
	.transform(({name, 'data-centre': dataCentre}) => ({name, dataCentre}));

const addressesSection = z.strictObject({
	/** HTTP, for callers and operators. */
	callers: defineAddress(),
	/** TCP, for the other hosts. */
	inner: defineAddress(),
	/** Local address of outgoing connections; the system's choice where absent. */
	source: defineIpAddress().optional(),
});

const platformSection = z
	.strictObject({
		'key-value': defineUrl(),
		'host-list': defineUrl(),
		prefix: definePattern(
			/^[\w\-.\/]{1,64}$/v,
			'1 to 64 of letters, digits, "-", "_", "." and "/"',
		).prefault('gentianshift/'),
	})
	.transform(({prefix, ...urls}) => ({
		keyValue: urls['key-value'],
		hostList: urls['host-list'],
		prefix,
	}));

const peersSection = z.strictObject({
	/** Inner addresses asked for further hosts while the platform's list cannot be read. */
	seeds: defineAddresses().prefault(''),
});

const limitsSection = z
	.strictObject({
		/** Jobs not yet ended that this host owns. */
		jobs: defineCount({min: 1, max: 1_000_000}).prefault('20000'),
		/** Tasks that wait at this host, over all services. */
		'queue-tasks': defineCount({min: 1, max: 10_000_000}).prefault('400000'),
		/** Largest body of a submission. */
		'body-bytes': defineSize({min: 1024, max: maxBodyBytes}).prefault('16MiB'),
		/** Records of ended jobs kept for resubmissions and late questions. */
		records: defineCount({min: 1, max: 10_000_000}).prefault('200000'),
		/** Names chosen by callers that may be claimed a second: each costs the platform a write. */
		'claims-per-second': defineCount({min: 0, max: 10_000}).prefault('50'),
	})
	.transform((limits) => ({
		jobs: limits.jobs,
		queueTasks: limits['queue-tasks'],
		bodyBytes: limits['body-bytes'],
		records: limits.records,
		claimsPerSecond: limits['claims-per-second'],
	}));

const stopSection = z
	.strictObject({
		/** Longest time that a planned stop waits for the jobs in flight. */
		limit: defineDuration({min: 100, max: 3_600_000}).prefault('30s'),
	})
	.transform(({limit}) => ({limitMs: limit}));

const generationsSection = z
	.strictObject({
		/** How long ids of one generation are handed out; records live for two to three of these. */
		length: defineDuration({min: 1000, max: 3_600_000}).prefault('5m'),
	})
	.transform(({length}) => ({lengthMs: length}));

const logSection = z.strictObject({
	level: defineWord([
		'trace',
		'debug',
		'info',
		'warn',
		'error',
		'fatal',
	]).prefault('info'),
});

const tracesSection = z
	.strictObject({
		exporter: defineWord(['none', 'file', 'otlp']).prefault('none'),
		/** Spans are appended here, a JSON line each. */
		file: definePattern(/\S/v, 'a path').optional(),
		/** OTLP over HTTP. */
		collector: defineUrl().optional(),
	})
	.superRefine(({exporter, file, collector}, context) => {
		if (exporter === 'file' && file === undefined) {
			context.addIssue({
				code: 'custom',
				path: ['file'],
				message: 'a path, as exporter = file needs one',
			});
		}

		if (exporter === 'otlp' && collector === undefined) {
			context.addIssue({
				code: 'custom',
				path: ['collector'],
				message: 'a URL, as exporter = otlp needs one',
			});
		}
	});

/** All sections of the settings, by the names they have in INI. */
export const hostSettingsSchema = z.object({
	host: hostSection,
	addresses: addressesSection,
	platform: platformSection,
	peers: peersSection,
	limits: limitsSection,
	stop: stopSection,
	generations: generationsSection,
	log: logSection,
	traces: tracesSection,
});

export type HostSettings = z.infer<typeof hostSettingsSchema>;

/**
Reads a host's settings; an error holds all findings at once.

@example
readHostSettings('[host]\nname = M1\n', 'm1.ini');
// err: m1.ini:2: host.name: found "M1"; allowed: a name of ... (and all that is missing)
*/
export function readHostSettings(
	text: string,
	file: string,
): Result<HostSettings, Finding[]> {
	const document = parseIni(text, file);
	const findings = [...document.findings, ...findUnknownSections(document)];
	const sections = Result.combineWithAllErrors(
		Object.entries(hostSettingsSchema.shape).map(([name, schema]) =>
			readSection(file, getSection(document, name), schema).map(
				(values) => [name, values] as const,
			),
		),
	);
	if (sections.isErr()) {
		findings.push(...sections.error.flat());
	}

	return sections.isErr() || findings.length > 0
		? err(findings)
		: ok(Object.fromEntries(sections.value) as HostSettings);
}

/** Whether INI text is meant as a host's settings, rather than as declarations. */
export function isHostSettings(text: string): boolean {
	return parseIni(text, '').sections.some(({name}) => name === 'host');
}

function getSection(document: IniDocument, name: string) {
	const found = document.sections.find((section) => section.name === name);
	return found ?? {name, line: 0, entries: []};
}

function findUnknownSections({file, sections}: IniDocument): Finding[] {
	const known = Object.keys(hostSettingsSchema.shape);
	return sections
		.filter(({name}) => !known.includes(name))
		.map(({name, line}) => ({
			code: 'unknown-section',
			place: {file, line, path: [name]},
			message: `found an unknown section; allowed: ${known.join(', ')}`,
		}));
}
