export * from './log-sink.js';
export * from './logger.js';
export * from './metrics.js';
export * from './once-log.js';
export * from './span-buffer.js';
export * from './tracer.js';
