/**
Work in the background of a test: an exception there fails the test, as an unhandled rejection.
*/
import {type Background} from './background.js';

export function createStrictBackground(): Background {
	return {
		report(_name, error) {
			throw error;
		},
		run(_name, task) {
			void task();
		},
		repeat(_name, step, {signal, isOver = () => false}) {
			void (async () => {
				while (!signal.aborted && !isOver()) {
					await step();
				}
			})();
		},
	};
}
