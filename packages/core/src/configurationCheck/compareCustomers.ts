import {
	CHANGE_KINDS, CHANGED_PARTS, type ConfigurationChange,
} from './configurationChange.js';
import {type ConfigurationDraft, type CustomerDraft} from './configurationDraft.js';
import {
	type ChangeSubject, compareFields, createChange, type FieldValues,
} from './compareFields.js';
import {joinByName} from './joinByName.js';
import {TOUCHED_REQUESTS} from './touchedRequests.js';

/** Fields of an allotment, which an entry looks up again for each attempt. The others hold from the next request on. */
const ALLOTMENT_FIELDS: ReadonlySet<string> = new Set(['unit', 'ratePerS', 'burst', 'plainTokens']);

/** Lists what differs in the customers of two versions. Keys are counted, never told. */
export function compareCustomers(inForce: ConfigurationDraft, draft: ConfigurationDraft): readonly ConfigurationChange[] {
	const needsKeys = {before: inForce.customers !== undefined, after: draft.customers !== undefined};
	const changes = joinByName(inForce.customers ?? [], draft.customers ?? [], ({customerId}) => customerId).flatMap(({before, after}) => {
		const subject = {part: CHANGED_PARTS.customer, name: (before ?? after)!.customerId, touched: TOUCHED_REQUESTS.none};
		if (before === undefined || after === undefined) {
			return [createChange(before === undefined ? CHANGE_KINDS.added : CHANGE_KINDS.removed, {
				...subject, touched: before === undefined ? TOUCHED_REQUESTS.none : TOUCHED_REQUESTS.resumedStreams,
			})];
		}

		const fields = compareFields(toFields(before), toFields(after), subject)
			.map(change => ALLOTMENT_FIELDS.has(change.field ?? '') ? {...change, touched: TOUCHED_REQUESTS.nextAttempts} : change);
		return [...compareKeys(before, after, subject), ...fields];
	});
	return needsKeys.before === needsKeys.after
		? changes
		: [createChange(CHANGE_KINDS.changed, {part: CHANGED_PARTS.keys, name: '', touched: TOUCHED_REQUESTS.resumedStreams}, {
			field: 'needed', before: String(needsKeys.before), after: String(needsKeys.after),
		}), ...changes];
}

function compareKeys(before: CustomerDraft, after: CustomerDraft, subject: ChangeSubject): readonly ConfigurationChange[] {
	const addedCount = countMissing(after.keys, before.keys);
	const removedCount = countMissing(before.keys, after.keys);
	return addedCount === 0 && removedCount === 0
		? []
		: [createChange(CHANGE_KINDS.changed, {...subject, touched: removedCount === 0 ? TOUCHED_REQUESTS.none : TOUCHED_REQUESTS.resumedStreams}, {
			field: 'keys', before: `${before.keys.length} keys`, after: `${after.keys.length} keys: ${addedCount} added, ${removedCount} removed`,
		})];
}

/** Counts the keys that are not in another list. */
function countMissing(keys: readonly string[], others: readonly string[]): number {
	const otherKeys = new Set(others);
	return [...new Set(keys)].filter(key => !otherKeys.has(key)).length;
}

function toFields({priority, allotment}: CustomerDraft): FieldValues {
	const {unit, ratePerS, burst, plainTokens} = allotment;
	const isLimited = ratePerS > 0;
	return {
		priority, ratePerS, unit: isLimited ? unit : undefined, burst: isLimited ? burst : undefined, plainTokens: isLimited ? plainTokens : undefined,
	};
}
