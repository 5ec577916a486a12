export * from './lending.js';
