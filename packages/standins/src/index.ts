export * from './platform.js';
export * from './platform-faults.js';
export * from './platform-store.js';
