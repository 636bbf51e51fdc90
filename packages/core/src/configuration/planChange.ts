import {
	type AcceptedChange, type ChangeReceipt, type ConfigurationDocument, type ConfigurationEdit, type ConfigurationHead, type ConfigurationPart,
	type ConfigurationProposal, type ConfigurationUpdate, createFailure, Err, ERROR_CODES, type Failure, formatDocumentKey, hashText, Ok, type Result,
} from '@damaskspool/shared';
import {applyEdits} from './applyEdits.js';
import {type ConfigurationCopy, toDocument} from './configurationCopy.js';

/**
 * Accepted changes that a head lists, at about 150 bytes each. A proposer whose reply was lost finds its
 * change among them even long afterwards.
 */
const MAX_RECENT_CHANGES = 64;
/** Leading hexadecimal digits of a customer's digest that select its shard. Two digits give 256 shards, about 26 customers each with 6,700 customers. */
const SHARD_DIGITS = 2;
const SERVICES_PART_NAME = 'services';
/** Subject of an edit that replaces the full document. It conflicts with every other subject. */
const WILDCARD_SUBJECT = '*';

/**
 * Subject that each type of edit changes. Edits of keys are commutative: they apply to the latest state of
 * the customer and overwrite no other change.
 */
const EDIT_SUBJECTS: {readonly [Type in ConfigurationEdit['type']]: (edit: Extract<ConfigurationEdit, {type: Type}>) => {subject: string; isCommutative: boolean}} = {
	setService: ({service}) => ({subject: `service:${service.serviceId}`, isCommutative: false}),
	removeService: ({serviceId}) => ({subject: `service:${serviceId}`, isCommutative: false}),
	setCustomer: ({customer}) => ({subject: `customer:${customer.customerId}`, isCommutative: false}),
	removeCustomer: ({customerId}) => ({subject: `customer:${customerId}`, isCommutative: false}),
	issueKey: ({customerId}) => ({subject: `customer:${customerId}`, isCommutative: true}),
	withdrawKey: ({customerId}) => ({subject: `customer:${customerId}`, isCommutative: true}),
	setDocument: () => ({subject: WILDCARD_SUBJECT, isCommutative: false}),
};

/** The next step of a proposer: the change is already accepted, or it has to be written. */
export type ChangePlan
	= | {readonly kind: 'accepted'; readonly receipt: ChangeReceipt}
		| {
			readonly kind: 'write';
			/** Documents to write before the head. */
			readonly writes: ReadonlyArray<{readonly key: string; readonly value: ConfigurationPart}>;
			readonly head: ConfigurationHead;
			/** Keys of replaced documents whose change is no longer listed in the head. They are removed after the head is accepted. */
			readonly removals: readonly string[];
			/** Update for a process that holds the previous revision. It is applied after the head is accepted. */
			readonly update: ConfigurationUpdate;
		};

/** Options of {@link planChange}. */
export type PlanChangeOptions = {
	/** Stored head; undefined before the first configuration. */
	readonly head: ConfigurationHead | undefined;
	/** Copy at exactly the revision of the head. */
	readonly copy: ConfigurationCopy;
	readonly proposal: ConfigurationProposal;
	/** Revision on which the edits are based. */
	readonly baseRevision: number;
	/** Identifier of the documents that are written; each attempt needs a new one. */
	readonly documentId: string;
};

/**
 * Plans how a proposed change is stored. A change that was already accepted is
 * recognized by its identifier and yields its receipt. A change that would
 * overwrite what another operator changed since the base revision fails with
 * `version_conflict`.
 *
 * @returns the writes or the receipt, or the failure with which the change is refused
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

/** Splits a document into parts. A part that the copy has is kept even if it is now empty, so that an update can clear it. */
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

/** Compares items by identity first, because edits keep the objects that they do not change. */
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

/** Finds a change since the base revision that the proposal would overwrite, and describes it. */
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
