// The package is CommonJS and its named exports are not seen by ES imports,
// so it is taken apart here once for the whole code base.
import tsResults from 'ts-results';

export const {Ok, Err} = tsResults;

/** Either a value or an error, both as values; the shape is that of ts-results. */
export type {Result} from 'ts-results';
