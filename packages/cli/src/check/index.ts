export * from './checkReport.js';
export * from './runCheckCli.js';
export * from './formatCheckReport.js';
