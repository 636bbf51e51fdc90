/** Prefix of every issued API key. Makes a leaked key recognisable in bodies, logs and source code. */
export const API_KEY_PREFIX = 'dmsk_';
