import assert from 'node:assert/strict';
import {test} from 'node:test';
import {formatJobId, parseJobId, type Issuer} from './job-id.js';

const issuer: Issuer = {
	dataCentre: 'mieres',
	host: 'm1',
	incarnation: '0123456789abcdef',
	generation: 7,
};

test('an owned id reads back to its issuer', () => {
	const id = formatJobId(issuer, 'a'.repeat(16));
	assert.deepEqual(parseJobId(id)._unsafeUnwrap(), {
		form: 'owned',
		issuer,
		random: 'a'.repeat(16),
	});
});

test('a UUIDv7 reads back to the time it was made', () => {
	const id = parseJobId('0190163d-8694-739b-aea5-966c26f8ad91')._unsafeUnwrap();
	assert.equal(id.form === 'named' && id.madeAt, 0x01_90_16_3d_86_94);
});

for (const bad of [
	'',
	'x',
	'mieres_m1.0123456789abcdef.7',
	'mieres_m1.0123456789abcdef.7.zz',
	'0190163d-8694-439b-aea5-966c26f8ad91',
]) {
	test(`"${bad}" is refused as malformed`, () => {
		assert.equal(parseJobId(bad)._unsafeUnwrapErr().code, 'malformed-id');
	});
}
