export * from './client.js';
export type * from './options.js';
