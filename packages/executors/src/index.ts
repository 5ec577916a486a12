export * from './connect-error.js';
export * from './executor-pool.js';
export * from './executor-pools.js';
export type * from './outcome.js';
