export * from './createCli.js';
