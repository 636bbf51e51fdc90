/** What stands in place of a key. */
const REDACTED = '[key]';
/** Shorter keys are words by chance, and replacing them would make every message unreadable. They are never printed as keys. */
const MIN_SECRET_LENGTH = 4;
/** Members whose values are constants of this program. */
const CONSTANT_MEMBERS: ReadonlySet<string> = new Set(['code', 'severity', 'message', 'kind', 'part', 'touched']);

/**
 * Replaces keys in all strings of a value. A key may also have been written where a name belongs, and names are printed.
 *
 * @param value - what is printed, made of plain objects, arrays and primitive values
 * @returns the value itself if it contains no key
 */
export function redactSecrets<T>(value: T, secrets: readonly string[]): T {
	const json = JSON.stringify(value);
	const found = [...new Set(secrets.flatMap(secret => [secret, escapeText(secret)]))]
		.filter(secret => secret.length >= MIN_SECRET_LENGTH && json.includes(escapeText(secret)))
		// A key may be a part of another one.
		.toSorted((left, right) => right.length - left.length);
	return found.length === 0 ? value : replaceTexts(value, found) as T;
}

/** Returns a text as it stands in JSON. Names are quoted in this way in messages. */
function escapeText(text: string): string {
	return JSON.stringify(text).slice(1, -1);
}

function replaceTexts(value: unknown, secrets: readonly string[]): unknown {
	if (typeof value === 'string') {
		let text: string = value;
		for (const secret of secrets) {
			text = text.replaceAll(secret, REDACTED);
		}

		return text;
	}

	if (Array.isArray(value)) {
		return value.map(member => replaceTexts(member, secrets));
	}

	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).map(([name, member]) => [name, CONSTANT_MEMBERS.has(name) ? member : replaceTexts(member, secrets)]))
		: value;
}
