/**
An example that runs against hosts which have the service `meals` and the team `cooks`:

```sh
node --import tsx packages/client/src/example.ts http://127.0.0.1:17001 http://127.0.0.1:17002
```
*/
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {z} from 'zod';
import {createClient} from './index.js';

const dishSchema = z.object({value: z.string()});

/** Orders the day's dishes and tells in a line what became of them. */
export async function submitDishes(hosts: string[]): Promise<string> {
	const client = createClient({hosts, team: 'cooks', retries: 2});
	const answer = await client.submit({
		service: 'meals',
		tasks: [
			{ms: 100, value: 'fabada'},
			{ms: 100, value: 'cachopo'},
		],
		deadlineMs: 10_000,
		result: dishSchema,
	});
	return answer.match(
		({results}) => `ready: ${results.map(({value}) => value).join(', ')}`,
		({code, ran}) => `no answer: ${code}, ran: ${ran}`,
	);
}

const [, script, ...hosts] = process.argv;
if (script && import.meta.url === pathToFileURL(script).href) {
	process.stdout.write(`${await submitDishes(hosts)}\n`);
}
