export type * from './daemon.js';
export * from './settings.js';
export {createEntry, type EntryOptions} from './entry/createEntry.js';
export {createSidecar, type SidecarOptions} from './sidecar/createSidecar.js';
export * from './entry/createConfigurationStore.js';
