export {startHost, type RunningHost, type StartOptions} from './start-host.js';
