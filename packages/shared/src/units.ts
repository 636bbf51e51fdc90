/** Unit constants: a duration in this code base is a number of milliseconds unless its name says otherwise. */

/** Milliseconds in one second. */
export const SECOND_MS = 1000;
/** Milliseconds in one minute. */
export const MINUTE_MS = 60 * SECOND_MS;
/** Milliseconds in one hour. */
export const HOUR_MS = 60 * MINUTE_MS;
/** Bytes in one kibibyte. */
export const KIBIBYTE_BYTES = 1024;
/** Bytes in one mebibyte. */
export const MEBIBYTE_BYTES = 1024 * KIBIBYTE_BYTES;
/** Tokens in one piece of engine memory, the unit in which targets count KV cache. */
export const TOKENS_PER_KV_BLOCK = 1000;
/** Bytes of text taken for one token when a prompt is sized before any tokenizer has seen it. */
export const BYTES_PER_TOKEN = 4;
