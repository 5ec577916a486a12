export * from './exchange.js';
export * from './table.js';
