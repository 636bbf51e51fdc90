export * from './harness/deploymentFile.js';
export * from './harness/startDaemonProcess.js';
export * from './harness/startDeployment.js';
export * from './harness/writeFirstConfiguration.js';
export * from './load/createTraffic.js';
export * from './load/runTraffic.js';
export * from './load/sendPlanned.js';
export * from './load/summarizeResults.js';
