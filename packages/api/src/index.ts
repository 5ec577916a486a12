export type * from './ports.js';
