export * from './borrower.js';
export * from './keeper.js';
export * from './local-view-source.js';
export * from './ports.js';
export * from './slot-exchange.js';
