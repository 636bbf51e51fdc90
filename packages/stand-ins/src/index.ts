export * from './serveJson.js';
export * from './engine/createEngine.js';
export * from './engine/engineText.js';
export * from './fault-proxy/createFaultProxy.js';
export * from './plain-service/createPlainService.js';
export * from './platform/createObjectStore.js';
export * from './platform/createPlatform.js';
