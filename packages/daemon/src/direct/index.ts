export * from './createDirectEntry.js';
export * from './directSettings.js';
