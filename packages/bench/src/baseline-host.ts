/**
An entry host that decides on its own where a task goes: the baselines that the keepers are
measured against. The same program otherwise.

Usage: `GENTIANSHIFT_POLICY=random|two-choices node dist/baseline-host.cjs serve --settings FILE`.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {startHost} from '@gentianshift/host';
import {formatFindings} from '@gentianshift/resources';
import {readHostSettings} from '@gentianshift/settings';
import {
	createLocalViewSource,
	pickLessLoadedOfTwo,
	pickRandom,
	type PickExecutor,
} from '@gentianshift/slots';

const policies: Record<string, PickExecutor> = {
	random: pickRandom,
	'two-choices': pickLessLoadedOfTwo,
};

async function run(): Promise<void> {
	const file = process.argv.at(-1)!;
	const settings = readHostSettings(readFileSync(file, 'utf8'), file);
	const pick = policies[process.env.GENTIANSHIFT_POLICY ?? ''];
	if (settings.isErr() || !pick) {
		const findings = settings.isErr() ? formatFindings(settings.error) : '';
		throw new Error(
			`a policy of ${Object.keys(policies).join(', ')} is needed; ${findings}`,
		);
	}

	const host = await startHost(settings.value, {
		createSource: (handlers, ports) =>
			createLocalViewSource({...ports, pick}, handlers),
	});
	process.once('SIGTERM', () => {
		void host.stop().then(() => process.exit(0));
	});
}

// The bundle is one CommonJS file, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void run();
