/** From the first visible character of ASCII to the last. */
const VISIBLE_ASCII = /^[!-~]+$/v;

/** Returns whether a caller can present a key. An empty key would stand for every malformed Authorization header. */
export function isPresentable(key: string): boolean {
	return VISIBLE_ASCII.test(key);
}
