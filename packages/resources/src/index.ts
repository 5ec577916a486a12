export * from './errors.js';
export * from './finding.js';
export * from './job-id.js';
export * from './kinds.js';
export * from './resource.js';
export * from './submission.js';
export * from './host-address.js';
