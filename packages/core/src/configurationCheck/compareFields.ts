import {CHANGE_KINDS, type ChangeKind, type ConfigurationChange} from './configurationChange.js';

/** Fields of a record, of which both sides of a comparison have the same. */
export type FieldValues = Readonly<Record<string, string | number | boolean | undefined>>;

/** What a change is about, and what it touches. */
export type ChangeSubject = Pick<ConfigurationChange, 'part' | 'name' | 'touched'> & Partial<Pick<ConfigurationChange, 'touchedRoutes' | 'otherRoute'>>;

/** Lists the fields of a record whose values differ. */
export function compareFields(before: FieldValues, after: FieldValues, subject: ChangeSubject): readonly ConfigurationChange[] {
	return Object.keys(before).filter(field => before[field] !== after[field]).map(field => createChange(CHANGE_KINDS.changed, subject, {
		field, before: formatValue(before[field]), after: formatValue(after[field]),
	}));
}

/** Creates a change; without a field it is about the whole record. */
export function createChange(kind: ChangeKind, subject: ChangeSubject, values: Partial<Pick<ConfigurationChange, 'field' | 'before' | 'after'>> = {}): ConfigurationChange {
	const {part, name, touched, touchedRoutes, otherRoute} = subject;
	const {field, before, after} = values;
	return {
		kind, part, name, field, before, after, touched, touchedRoutes, otherRoute,
	};
}

function formatValue(value: FieldValues[string]): string | undefined {
	return value === undefined ? undefined : String(value);
}
