export * from './own-view-source.js';
