export {
	createBodyBudget,
	type BodyBudget,
	type BodyLease,
} from './body-budget.js';
export {readBytes, type BodyRefusal} from './read-bytes.js';
