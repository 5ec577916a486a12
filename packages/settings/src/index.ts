export * from './declarations.js';
export * from './host-settings.js';
