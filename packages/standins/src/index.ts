export * from './executor-control.js';
export * from './executor-links.js';
export * from './executor-schemas.js';
export * from './executor-starts.js';
export * from './executor.js';
export * from './relay.js';
