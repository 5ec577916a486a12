/**
What an executor registers about itself, with the fields that a test is about.
*/
import {type ExecutorRegistration} from '@gentianshift/scheduling';

export const wholeCapacity = {
	cpu: 32_000,
	memoryMb: 1000,
	accelerators: 0,
};

export function makeRegistration(
	fields: Partial<ExecutorRegistration> = {},
): ExecutorRegistration {
	return {
		id: 'e1',
		address: '10.0.0.1:8000',
		dataCentre: 'mieres',
		service: 'meals',
		isDraining: false,
		capacity: wholeCapacity,
		...fields,
	};
}
