/**
The store turns the hosts of one data centre away for 9 s and serves the others. The data centre's executors, which do not guard their
capacity, say there in that time that it has shrunk. Does the data centre's scheduler go on to start more than they hold?
*/
import {setTimeout as delay} from 'node:timers/promises';
import {
	isTroubled,
	makeId,
	makeJob,
	runCase,
	send,
	taskCpu,
} from '../system-3.js';

const dataCentre = 'mieres';
const fullCpu = 32_000;
const shrunkCpu = 15_000;
/** `contact_ms` and one beat, from which on the shrunk capacity counts. */
const shrunkCountsMs = 3000 + 1500;
/** From the start of the load. */
const refusedAfterMs = 3000;
const refusedMs = 9000;
const shrinkAfterMs = 500;
const observedMs = 12_000;
const jobIntervalMs = 45;
const taskMs = 300;

await runCase(import.meta.dirname, async (system, record) => {
	await system.start({
		hosts: {mieres: 3, langreo: 3, tineo: 3},
		executors: {mieres: 4, langreo: 4, tineo: 4},
		isGuarded: false,
	});
	const near = system.hosts.filter((host) => host.dataCentre === dataCentre);
	const executors = system.executors.filter(
		(executor) => executor.dataCentre === dataCentre,
	);
	const traffic = new AbortController();
	const answers = [];
	const counts = new Map();
	const load = (async () => {
		for (let i = 0; !traffic.signal.aborted; i += 1) {
			const host = system.hosts[i % system.hosts.length];
			answers.push(
				(async () => {
					const answer = await send(host, {
						id: makeId(),
						body: makeJob({count: 3, ms: taskMs}),
					});
					const told = answer?.status ?? 'no answer';
					counts.set(told, (counts.get(told) ?? 0) + 1);
				})(),
			);
			await delay(jobIntervalMs);
		}
	})();

	await delay(refusedAfterMs);
	if (isTroubled) {
		system.store.faults.busy = new Set(near.map(({ip}) => ip));
		record.write(
			`the store turns ${near.length} of ${system.hosts.length} hosts away: all of ${dataCentre}`,
		);
		setTimeout(() => {
			system.store.faults.busy = false;
			record.write('the store serves all hosts');
		}, refusedMs);
	}

	await delay(shrinkAfterMs);
	const shrunkAt = performance.now();
	for (const executor of executors) {
		system.putExecutor(executor, {
			sequence: 2,
			capacity: {cpu: shrunkCpu, mem_mb: 131_072, gpu: 0},
		});
		record.write(
			`${executor.id} says that it holds ${shrunkCpu}, no longer ${fullCpu}`,
		);
	}

	await delay(observedMs);
	traffic.abort();
	await load;
	await Promise.all(answers);
	record.write(`answers: ${JSON.stringify([...counts])}`);
	let broken = 0;
	for (const executor of executors) {
		for (const run of executor.seen) {
			const running = executor.seen.filter(
				(other) =>
					other.startedAt <= run.startedAt &&
					(other.endedAt ?? Infinity) > run.startedAt,
			);
			const used = running.length * taskCpu;
			const sinceMs = run.startedAt - shrunkAt;
			const limit = sinceMs > shrunkCountsMs ? shrunkCpu : fullCpu;
			if (used > limit) {
				broken += 1;
				record.write(
					`${run.task} is started on ${run.executor}, ${sinceMs.toFixed(0)} ms after its word: ${used} of ${limit} in use`,
				);
			}
		}
	}

	record.write(`starts over the capacity: ${broken}`);
	return broken === 0;
});
