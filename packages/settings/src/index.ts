export * from './declarations.js';
export {formatDuration, parseDuration} from './duration.js';
export * from './host-settings.js';
