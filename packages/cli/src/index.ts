export * from './exit-codes.js';
export * from './program.js';
export * from './terminal.js';
