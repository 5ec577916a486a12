import assert from 'node:assert/strict';
import {test} from 'node:test';
import {formatFindings} from '@gentianshift/resources';
import {listUndeclaredTargets, readDeclarations} from './declarations.js';

function makeExecutor(
	name: string,
	target = 'kitchens',
	port = 17_100,
): string {
	return [
		`[executor ${name}]`,
		`target = ${target}`,
		`address = 127.0.0.1:${port}`,
		'data-centre = mieres',
		'slots = 8',
		'connections = 60',
		'',
	].join('\n');
}

test('executors are folded into their target, in another file too', () => {
	const declarations = readDeclarations([
		{file: 'a.ini', text: makeExecutor('e1')},
		{
			file: 'b.ini',
			text: '[target kitchens]\n' + makeExecutor('e2', 'kitchens', 17_101),
		},
	])._unsafeUnwrap();
	assert.equal(declarations.length, 1);
	const [target] = declarations;
	assert.ok(target?.kind === 'targets');
	assert.deepEqual(
		target.spec.executors.map(({name}) => name),
		['e1', 'e2'],
	);
	assert.deepEqual(target.spec.executors[0], {
		name: 'e1',
		address: '127.0.0.1:17100',
		dataCentre: 'mieres',
		slots: 8,
		connections: 60,
		state: 'active',
	});
});

test('a service is read with its units and defaults; an undeclared target is only a warning', () => {
	const text =
		'[service quotes]\ntarget = desks\ntask-time = 1s\nidempotent = true';
	const declarations = readDeclarations([
		{file: 'a.ini', text},
	])._unsafeUnwrap();
	assert.equal(declarations[0]?.kind, 'services');
	assert.deepEqual(declarations[0].spec, {
		target: 'desks',
		path: '/',
		idempotent: true,
		prefer: 'response',
		taskMs: 1000,
		taskLimitMs: 30_000,
		deadlineMs: 30_000,
		maxTasks: 1700,
		queueTasks: 100_000,
	});
	assert.deepEqual(
		listUndeclaredTargets(declarations).map(({code}) => code),
		['undeclared-target'],
	);
});

test('findings of several files come together', () => {
	const findings = readDeclarations([
		{
			file: 'a.ini',
			text: '[team cooks]\nweight = heavy\n' + makeExecutor('e1', 'nowhere'),
		},
		{file: 'b.ini', text: '[team cooks]\n[tem x]\n[service Bad]\n'},
	])._unsafeUnwrapErr();
	assert.deepEqual(formatFindings(findings).split('\n'), [
		'a.ini:2: team cooks.weight: found "heavy"; allowed: a number from 0.01 to 1000 [not-allowed]',
		'b.ini:1: team cooks: found [team cooks] again (first in a.ini:1); allowed: once [duplicate-section]',
		'b.ini:2: tem x: found [tem x]; allowed: [target NAME], [executor NAME], [service NAME], [team NAME] [unknown-section]',
		'b.ini:3: service Bad: found the name "Bad"; allowed: 1 to 63 of a-z, 0-9 and "-", not "-" first [not-allowed]',
		'b.ini:3: service Bad.target: missing; allowed: a name of 1 to 63 of a-z, 0-9 and "-", not "-" first [missing-key]',
		'a.ini:3: executor e1.target: found "nowhere"; allowed: a target declared in these files [undeclared-target]',
	]);
});

test('two executors at one address are a finding', () => {
	const text = '[target kitchens]\n' + makeExecutor('e1') + makeExecutor('e2');
	const findings = readDeclarations([{file: 'a.ini', text}])._unsafeUnwrapErr();
	assert.equal(
		formatFindings(findings),
		'a.ini:8: executor e2.address: found 127.0.0.1:17100 again (first in a.ini:2); allowed: one executor an address [duplicate-address]',
	);
});
