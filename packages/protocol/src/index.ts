export * from './connection.js';
export * from './frame.js';
export * from './heartbeat.js';
export * from './mesh.js';
export * from './messages.js';
export * from './scheduling-messages.js';
