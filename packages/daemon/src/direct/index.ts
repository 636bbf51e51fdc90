export * from './createDirectEntry.js';
