export type * from './ports.js';
export {startApi, type Api, type ApiOptions} from './server.js';
export {
	presentView,
	type PresentedResource,
	type PresentedView,
} from './present.js';
