export * from './holders.js';
export * from './host-view.js';
