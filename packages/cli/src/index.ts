export * from './createCli.js';
export * from './exitCodes.js';
export * from './language/parseStatement.js';
