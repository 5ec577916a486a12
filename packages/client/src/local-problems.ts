/**
Problems that the client itself finds, where no host's answer tells more.
*/
import {type Problem, type Ran} from '@gentianshift/resources';

type LocalCode = 'unreachable' | 'no-answer' | 'aborted' | 'bad-result';

const titles: Record<LocalCode, string> = {
	unreachable: 'No host took the request',
	'no-answer': 'No answer came',
	aborted: 'The caller gave up',
	'bad-result': 'A result does not match its schema',
};

/** Statuses that a gateway would use for the same. */
const statuses: Record<LocalCode, number> = {
	unreachable: 503,
	'no-answer': 504,
	aborted: 499,
	'bad-result': 502,
};

export function createLocalProblem(
	code: LocalCode,
	ran: Ran,
	detail: string,
	id?: string,
): Problem {
	return {
		type: 'about:blank',
		title: titles[code],
		status: statuses[code],
		detail,
		code,
		ran,
		id,
	};
}
