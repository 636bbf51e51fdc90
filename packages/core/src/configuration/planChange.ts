import {
	type AcceptedChange, type ChangeReceipt, type ConfigurationDocument, type ConfigurationEdit, type ConfigurationHead, type ConfigurationPart,
	type ConfigurationProposal, type ConfigurationUpdate, createFailure, Err, ERROR_CODES, type Failure, formatDocumentKey, hashText, Ok, type Result,
} from '@damaskspool/shared';
import {applyEdits} from './applyEdits.js';
import {type ConfigurationCopy, toDocument} from './configurationCopy.js';

/** Changes that a head remembers: enough to settle a lost reply long after, at about 150 bytes each. */
const MAX_RECENT_CHANGES = 64;
/** Hexadecimal digits of a customer's digest that name its shard: 256 shards, of about 26 customers among 6,700. */
const SHARD_DIGITS = 2;
const SERVICES_PART_NAME = 'services';
/** Subject of an edit that replaces everything; it overlaps with every other. */
const WILDCARD_SUBJECT = '*';

/** What an edit changes. Edits of keys read the latest state of the customer, so that they lose nothing. */
const EDIT_SUBJECTS: {readonly [Type in ConfigurationEdit['type']]: (edit: Extract<ConfigurationEdit, {type: Type}>) => {subject: string; isCommutative: boolean}} = {
	setService: ({service}) => ({subject: `service:${service.serviceId}`, isCommutative: false}),
	removeService: ({serviceId}) => ({subject: `service:${serviceId}`, isCommutative: false}),
	setCustomer: ({customer}) => ({subject: `customer:${customer.customerId}`, isCommutative: false}),
	removeCustomer: ({customerId}) => ({subject: `customer:${customerId}`, isCommutative: false}),
	issueKey: ({customerId}) => ({subject: `customer:${customerId}`, isCommutative: true}),
	withdrawKey: ({customerId}) => ({subject: `customer:${customerId}`, isCommutative: true}),
	setDocument: () => ({subject: WILDCARD_SUBJECT, isCommutative: false}),
};

/** What a proposer does next. */
export type ChangePlan
	= | {readonly kind: 'accepted'; readonly receipt: ChangeReceipt}
		| {
			readonly kind: 'write';
			/** Documents to write before the head. */
			readonly writes: ReadonlyArray<{readonly key: string; readonly value: ConfigurationPart}>;
			readonly head: ConfigurationHead;
			/** Documents that no remembered head names any more, to remove once the head is accepted. */
			readonly removals: readonly string[];
			/** What a process with the previous revision applies once the head is accepted. */
			readonly update: ConfigurationUpdate;
		};

/** Options of {@link planChange}. */
export type PlanChangeOptions = {
	/** Head as stored; undefined before the first configuration. */
	readonly head: ConfigurationHead | undefined;
	/** Copy of exactly that head. */
	readonly copy: ConfigurationCopy;
	readonly proposal: ConfigurationProposal;
	/** Revision on which the edits are based. */
	readonly baseRevision: number;
	/** Names the documents that are written; a new one for each attempt. */
	readonly documentId: string;
};

/**
 * Plans how a proposed change is stored. A change that was already accepted is
 * found by its identifier; one that would undo what another operator changed
 * since the base is a version conflict.
 *
 * @param options - head and copy as stored, the proposal and its base
 * @returns what to write, or the receipt, or why it is refused
 */
export function planChange(options: PlanChangeOptions): Result<ChangePlan, Failure> {
	const {head, copy, proposal, baseRevision, documentId} = options;
	const accepted = head?.recent.find(change => change.changeId === proposal.changeId);
	if (accepted !== undefined) {
		return Ok({kind: 'accepted', receipt: {changeId: proposal.changeId, revision: accepted.revision}});
	}

	const conflict = findConflict(head, proposal, baseRevision);
	if (conflict !== undefined) {
		return Err(createFailure(ERROR_CODES.versionConflict, {detail: conflict}));
	}

	return applyEdits(toDocument(copy), proposal.edits).map(document => planWrite({
		head, copy, documentId, document, proposal,
	}));
}

type PlanWriteOptions = Pick<PlanChangeOptions, 'head' | 'copy' | 'documentId' | 'proposal'> & {readonly document: ConfigurationDocument};

function planWrite({head, copy, documentId, document, proposal}: PlanWriteOptions): ChangePlan {
	const changedParts = [...splitDocument(document, copy)]
		.filter(([name, part]) => !isSamePart(copy.parts.get(name)?.document, part))
		.map(([name, part]) => ({name, documentId, document: part}));
	const replaced = changedParts.flatMap(({name}) => {
		const previous = copy.parts.get(name);
		return previous === undefined ? [] : [formatDocumentKey(name, previous.documentId)];
	});
	const revision = (head?.revision ?? 0) + 1;
	const change: AcceptedChange = {
		revision, changeId: proposal.changeId, subjects: proposal.edits.map(edit => describeEdit(edit).subject), replaced,
	};
	const recent = [...(head?.recent ?? []), change];
	return {
		kind: 'write',
		writes: changedParts.map(({name, document: value}) => ({key: formatDocumentKey(name, documentId), value})),
		head: {
			revision,
			parts: {...head?.parts, ...Object.fromEntries(changedParts.map(({name}) => [name, documentId]))},
			recent: recent.slice(-MAX_RECENT_CHANGES),
		},
		removals: recent.slice(0, -MAX_RECENT_CHANGES).flatMap(old => old.replaced),
		update: {fromRevision: copy.revision, revision, parts: changedParts},
	};
}

/** Splits a document into parts. A part that was once written stays, so that an update can empty it. */
function splitDocument(document: ConfigurationDocument, copy: ConfigurationCopy): Map<string, ConfigurationPart> {
	const parts = new Map<string, ConfigurationPart>();
	const nameByCustomer = new Map<string, string>();
	for (const [name, part] of copy.parts) {
		parts.set(name, {services: [], customers: []});
		for (const {customerId} of part.document.customers) {
			nameByCustomer.set(customerId, name);
		}
	}

	parts.set(SERVICES_PART_NAME, {services: document.services, customers: []});
	for (const customer of document.customers) {
		const name = nameByCustomer.get(customer.customerId) ?? `customers-${hashText(customer.customerId).slice(0, SHARD_DIGITS)}`;
		const part = parts.get(name) ?? {services: [], customers: []};
		part.customers.push(customer);
		parts.set(name, part);
	}

	return parts;
}

/** Compares by identity first: edits leave alone what they do not touch. */
function isSamePart(left: ConfigurationPart | undefined, right: ConfigurationPart): boolean {
	if (left === undefined) {
		return false;
	}

	const isSameList = (one: readonly unknown[], other: readonly unknown[]) =>
		one.length === other.length && one.every((item, index) => item === other[index] || JSON.stringify(item) === JSON.stringify(other[index]));
	return isSameList(left.services, right.services) && isSameList(left.customers, right.customers);
}

function describeEdit(edit: ConfigurationEdit): {subject: string; isCommutative: boolean} {
	const describe = EDIT_SUBJECTS[edit.type] as (edit: ConfigurationEdit) => {subject: string; isCommutative: boolean};
	return describe(edit);
}

/** Finds a change since the base that an edit would undo unseen. */
function findConflict(head: ConfigurationHead | undefined, proposal: ConfigurationProposal, baseRevision: number): string | undefined {
	if (head === undefined || head.revision <= baseRevision) {
		return undefined;
	}

	const subjects = proposal.edits.map(edit => describeEdit(edit)).filter(edit => !edit.isCommutative).map(edit => edit.subject);
	if (subjects.length === 0) {
		return undefined;
	}

	const laterChanges = head.recent.filter(change => change.revision > baseRevision);
	if (laterChanges.length < head.revision - baseRevision) {
		return `revision ${baseRevision} is too old, the latest is ${head.revision}`;
	}

	const isOverlapping = (subject: string) => subject === WILDCARD_SUBJECT || subjects.includes(WILDCARD_SUBJECT) || subjects.includes(subject);
	const conflictingChange = laterChanges.find(change => change.subjects.some(subject => isOverlapping(subject)));
	return conflictingChange === undefined
		? undefined
		: `revision ${conflictingChange.revision} changed ${conflictingChange.subjects.join(', ')} since revision ${baseRevision}`;
}
