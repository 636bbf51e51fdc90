// The package ts-results is CommonJS, and ES imports cannot see its named exports.
// This module re-exports them for all packages.
import tsResults from 'ts-results';

export const {Ok, Err} = tsResults;

/** Result type of ts-results: holds either a value or an error. */
export type {Result} from 'ts-results';
