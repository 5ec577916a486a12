/**
Job ids name their owner, for ever: `<data centre>_<host>.<incarnation>.<generation>.<random>`.
Only that incarnation of that host may ever start a task of the job, so no lease, clock or
quorum is needed to keep a task from starting twice.
*/
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {nameSchema} from './kinds.js';

/** Who may run a job: one process's lifetime, and one generation within it. */
export const issuerSchema = z.object({
	dataCentre: nameSchema,
	host: nameSchema,
	/** Random, made at process start: 16 hexadecimal digits. */
	incarnation: z.string().regex(/^[\da-f]{16}$/v),
	/** Raised every few minutes; only the current and the previous one start jobs. */
	generation: z.number().int().min(0),
});

export type Issuer = z.infer<typeof issuerSchema>;
export type OwnedId = {form: 'owned'; issuer: Issuer; random: string};
export type NamedId = {
	form: 'named';
	uuid: string;
	/** Unix milliseconds. */ madeAt: number;
};
export type JobId = OwnedId | NamedId;
export type JobIdError = {code: 'malformed-id'; message: string};

const ownedPattern =
	/^([a-z\d][a-z\d\-]{0,62})_([a-z\d][a-z\d\-]{0,62})\.([\da-f]{16})\.(\d{1,9})\.([\da-f]{16,32})$/v;
const uuid7Pattern =
	/^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/v;

export function formatIssuer({
	dataCentre,
	host,
	incarnation,
	generation,
}: Issuer): string {
	return `${dataCentre}_${host}.${incarnation}.${generation}`;
}

/**
Reads an issuer as sent in the `Gentianshift-Issuer` header.

@example
parseIssuer('mieres_m1.0123456789abcdef.3').isOk(); // true
*/
export function parseIssuer(text: string): Result<Issuer, JobIdError> {
	return parseJobId(`${text}.${'0'.repeat(16)}`).andThen((id) =>
		id.form === 'owned' ? ok(id.issuer) : err(describeMalformed(text)),
	);
}

/** Reads a job id: one that names its owner, or a name chosen by the caller (UUIDv7). */
export function parseJobId(text: string): Result<JobId, JobIdError> {
	const owned = ownedPattern.exec(text);
	if (owned) {
		const [, dataCentre, host, incarnation, generation, random] =
			owned as unknown as string[];
		return ok({
			form: 'owned',
			issuer: {
				dataCentre: dataCentre!,
				host: host!,
				incarnation: incarnation!,
				generation: Number(generation),
			},
			random: random!,
		});
	}

	if (uuid7Pattern.test(text)) {
		const madeAt = Number.parseInt(text.slice(0, 8) + text.slice(9, 13), 16);
		return ok({form: 'named', uuid: text, madeAt});
	}

	return err(describeMalformed(text));
}

/** Makes an id under an issuer; `random` is 16 to 32 hexadecimal digits. */
export function formatJobId(issuer: Issuer, random: string): string {
	return `${formatIssuer(issuer)}.${random}`;
}

function describeMalformed(text: string): JobIdError {
	return {
		code: 'malformed-id',
		message: `"${text.slice(0, 80)}" is neither ISSUER.RANDOM (16 to 32 hexadecimal digits) nor a lower-case UUIDv7`,
	};
}
