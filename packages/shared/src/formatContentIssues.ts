import {type z} from 'zod';

/** Issues that are named. Those that follow mostly have the same cause. */
const MAX_NAMED_ISSUES = 3;
/** Characters of a path and of a message. Both may repeat names that another writer chose. */
const MAX_PATH_LENGTH = 60;
const MAX_MESSAGE_LENGTH = 80;

/** Formats what a schema found in a content, on one line of at most a few hundred characters. */
export function formatContentIssues({issues}: Pick<z.ZodError, 'issues'>): string {
	const named = issues.slice(0, MAX_NAMED_ISSUES).map(({path, message}) => {
		const place = path.map(step => typeof step === 'number' ? `[${step}]` : `.${truncate(String(step), MAX_PATH_LENGTH)}`).join('').replace(/^\./v, '');
		return `${place === '' ? '' : `${truncate(place, MAX_PATH_LENGTH)}: `}${truncate(message, MAX_MESSAGE_LENGTH)}`;
	});
	return `${named.join('; ')}${issues.length > MAX_NAMED_ISSUES ? '; and more' : ''}`;
}

function truncate(text: string, maxLength: number): string {
	return text.length > maxLength ? `${text.slice(0, maxLength)}…` : text;
}
