/**
Addresses that each reader understands in the same way.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {hostAddressSchema, ipAddressSchema} from './host-address.js';
import {addressSchema} from './kinds.js';

const sound = ['10.1.0.13:8161', '127.0.0.1:1', '255.255.255.255:65535'];

test('an address in canonical form is accepted', () => {
	for (const address of sound) {
		assert.ok(hostAddressSchema.safeParse(address).success, address);
		assert.ok(addressSchema.safeParse(address).success, address);
		assert.ok(ipAddressSchema.safeParse(address.split(':')[0]).success);
	}
});

// Guards against an octet that the check reads as decimal and the URL parser as octal: the connection goes to another
// machine, or the parser throws.
test('an octet with leading zeros is refused', () => {
	for (const ip of ['127.000.000.009', '127.0.0.010', '010.1.0.13']) {
		assert.equal(hostAddressSchema.safeParse(`${ip}:8169`).success, false, ip);
		assert.equal(addressSchema.safeParse(`${ip}:8169`).success, false, ip);
		assert.equal(ipAddressSchema.safeParse(ip).success, false, ip);
	}
});

// Guards against an address that a library refuses by throwing.
test('each accepted address is read by the URL parser as the same machine and port', () => {
	const texts = [
		...sound,
		'256.1.1.1:80',
		'1.1.1:80',
		'1.1.1.1',
		'1.1.1.1:0',
		'1.1.1.1:65536',
		'0x7f.0.0.1:80',
		'127.1:80',
		' 127.0.0.1:80',
		'127.0.0.1:80/x',
		'00.0.0.1:80',
	];
	for (const text of texts) {
		if (hostAddressSchema.safeParse(text).success) {
			assert.equal(new URL(`http://${text}`).host, text);
		}
	}
});
