export * from './leased-executor.js';
export * from './metadata-store.js';
