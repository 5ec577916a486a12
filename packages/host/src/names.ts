/**
Claims of callers' names in the platform's service, as the jobs package asks for them.
*/
import {randomBytes} from 'node:crypto';
import {type ClaimResult, type NameClaimStore} from '@gentianshift/jobs';
import {
	createNameClaims,
	createRateLimit,
	type KeyValue,
} from '@gentianshift/resource-store';
import {formatIssuer, parseIssuer, type Issuer} from '@gentianshift/resources';
import {readNow} from './identity.js';

export function createNamePort(
	keyValue: KeyValue,
	prefix: string,
	claimsPerSecond: number,
): NameClaimStore {
	const claims = createNameClaims({
		keyValue,
		prefix,
		now: readNow,
		makeNonce: () => randomBytes(8).toString('hex'),
		takeToken: createRateLimit({
			perSecond: claimsPerSecond,
			burst: claimsPerSecond,
			now: readNow,
		}),
		schedule(run) {
			setImmediate(run);
		},
	});
	return {
		async claimName(uuid, holder) {
			const claim = await claims.claimName(uuid, formatIssuer(holder));
			if (claim.isErr()) {
				return {state: 'unavailable', retryAfterMs: claim.error.retryAfterMs};
			}

			return claim.value.outcome === 'claimed'
				? {state: 'claimed'}
				: readHeld(claim.value.holder);
		},
		async readHolder(uuid) {
			const entry = await keyValue.readKey(`${prefix}${uuid}`);
			if (entry.isErr()) {
				return 'unavailable';
			}

			return entry.value === undefined
				? 'none'
				: parseHolder(entry.value.value);
		},
	};
}

function readHeld(holder: string): ClaimResult {
	const issuer = parseIssuer(holder);
	return issuer.isOk()
		? {state: 'held', holder: issuer.value}
		: {state: 'unavailable'};
}

function parseHolder(value: string): Issuer | 'unavailable' {
	try {
		const {holder} = JSON.parse(value) as {holder: string};
		return parseIssuer(holder).unwrapOr('unavailable');
	} catch {
		return 'unavailable';
	}
}
