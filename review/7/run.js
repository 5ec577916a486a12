/**
Another writer's entry under `servers/` has an address that can't be read: its numbers are filled up with zeros. Do hosts go on?
*/
import {setTimeout as delay} from 'node:timers/promises';
import {isTroubled, makeId, makeJob, runCase, send} from '../system-3.js';

const warmUpMs = 3000;
const observedMs = 60_000;
const jobIntervalMs = 100;
/** The rule's numbers: ends by itself on one machine, and machines. */
const mostEnds = 3;
const leastMachines = 2;

await runCase(import.meta.dirname, async (system, record) => {
	await system.start({
		hosts: {mieres: 3, langreo: 3, tineo: 3},
		executors: {mieres: 4, langreo: 4, tineo: 4},
	});
	record.write(`ready: ${system.hosts.length} hosts`);
	const endAt = performance.now() + warmUpMs + observedMs;
	const counts = new Map();
	const jobs = [];
	let isWritten = false;
	const writeAt = performance.now() + warmUpMs;
	for (let i = 0; performance.now() < endAt; i += 1) {
		if (isTroubled && !isWritten && performance.now() > writeAt) {
			isWritten = true;
			const entry = {
				...system.describeExecutor('mieres'),
				address: '127.000.000.009:8169',
			};
			record.write(
				`another writer: servers/kitchen-9 = ${JSON.stringify(entry)}`,
			);
			system.store.put('servers/kitchen-9', entry);
		}

		const host = system.hosts[i % system.hosts.length];
		jobs.push(
			(async () => {
				const id = makeId();
				const answer = await send(host, {id, body: makeJob()});
				const told = answer?.status ?? 'no answer';
				counts.set(told, (counts.get(told) ?? 0) + 1);
				record.write(`job ${id} at ${host.name}: ${told}`);
			})(),
		);
		await delay(jobIntervalMs);
	}

	await Promise.all(jobs);
	record.write(`answers: ${JSON.stringify([...counts])}`);
	record.write(`runs: ${system.listRuns().length}`);
	for (const {name, ownEnds} of system.hosts) {
		record.write(`${name}: its process has ended by itself ${ownEnds} times`);
	}

	const failing = system.hosts.filter(({ownEnds}) => ownEnds >= mostEnds);
	return failing.length < leastMachines;
});
