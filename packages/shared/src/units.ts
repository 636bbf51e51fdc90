/** Unit constants. Durations are in milliseconds unless the name states another unit. */

export const SECOND_MS = 1000;
export const MINUTE_MS = 60 * SECOND_MS;
export const HOUR_MS = 60 * MINUTE_MS;
export const KIBIBYTE_BYTES = 1024;
export const MEBIBYTE_BYTES = 1024 * KIBIBYTE_BYTES;
/** Tokens in one KV cache block, the unit in which targets count KV cache space. */
export const TOKENS_PER_KV_BLOCK = 1000;
/** Assumed size of a token, used to estimate the token count of a prompt without a tokenizer. */
export const BYTES_PER_TOKEN = 4;
