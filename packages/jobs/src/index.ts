export * from './forwards.js';
export * from './generations.js';
export * from './job-record.js';
export * from './job-table.js';
export * from './name-register.js';
export * from './owner.js';
export * from './problems.js';
export * from './router.js';
export type * from './slot-source.js';
