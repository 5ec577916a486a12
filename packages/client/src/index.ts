export * from './client.js';
export * from './name.js';
export type * from './options.js';
