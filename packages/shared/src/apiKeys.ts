/** Every API key that the system issues begins like this, so that it is known wherever it turns up. */
export const API_KEY_PREFIX = 'dmsk_';
