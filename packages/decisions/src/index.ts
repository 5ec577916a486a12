export type * from './lending.js';
