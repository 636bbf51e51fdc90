import {
	type ConfigurationDocument, type ConfigurationHead, type ConfigurationPart, type ConfigurationUpdate,
} from '@damaskspool/shared';

/** One part with the identifier of its content. */
export type PartCopy = {
	readonly documentId: string;
	readonly document: ConfigurationPart;
};

/** A process's copy of the stored configuration. */
export type ConfigurationCopy = {
	/** Zero before the first. */
	revision: number;
	parts: Map<string, PartCopy>;
	/** Names of the parts that each of the latest steps changed, oldest first. */
	steps: Array<{readonly fromRevision: number; readonly partNames: readonly string[]}>;
};

/** Steps that are remembered, so that a process that missed a few changes is sent only these. */
const STEPS_KEPT = 64;

/**
 * Creates a copy that holds nothing.
 *
 * @returns the copy
 */
export function createConfigurationCopy(): ConfigurationCopy {
	return {revision: 0, parts: new Map(), steps: []};
}

/**
 * Finds the documents that a head names and a copy does not hold.
 *
 * @param copy - what is held
 * @param head - head that was read
 * @returns part names with document identifiers
 */
export function findMissingParts(copy: ConfigurationCopy, head: ConfigurationHead): Array<{name: string; documentId: string}> {
	return Object.entries(head.parts)
		.filter(([name, documentId]) => copy.parts.get(name)?.documentId !== documentId)
		.map(([name, documentId]) => ({name, documentId}));
}

/**
 * Applies an update if it leads to a later revision and starts from the one held.
 *
 * @param copy - copy to change
 * @param update - whole configuration, or the parts changed since a revision
 * @returns whether the copy changed
 */
export function applyUpdate(copy: ConfigurationCopy, update: ConfigurationUpdate): boolean {
	const isWhole = update.fromRevision === undefined;
	if (update.revision <= copy.revision || (!isWhole && update.fromRevision !== copy.revision)) {
		return false;
	}

	const parts = new Map(isWhole ? [] : copy.parts);
	for (const {name, documentId, document} of update.parts) {
		parts.set(name, {documentId, document});
	}

	const partNames = update.parts
		.filter(({name, documentId}) => copy.parts.get(name)?.documentId !== documentId)
		.map(({name}) => name);
	copy.steps = [...copy.steps, {fromRevision: copy.revision, partNames}].slice(-STEPS_KEPT);
	copy.revision = update.revision;
	copy.parts = parts;
	return true;
}

/**
 * Builds the update that brings another process from its revision to the one held.
 *
 * @param copy - what is held
 * @param sinceRevision - revision of the other process
 * @returns the changed parts, all parts where the steps from there are not known, or undefined where it is not behind
 */
export function createUpdate(copy: ConfigurationCopy, sinceRevision: number): ConfigurationUpdate | undefined {
	if (sinceRevision >= copy.revision) {
		return undefined;
	}

	const from = copy.steps.findIndex(step => step.fromRevision === sinceRevision);
	const names = from === -1 || sinceRevision <= 0
		? copy.parts.keys()
		: new Set(copy.steps.slice(from).flatMap(step => step.partNames));
	const parts = [...names].map(name => ({name, ...copy.parts.get(name)!}));
	return from === -1 || sinceRevision <= 0
		? {revision: copy.revision, parts}
		: {fromRevision: sinceRevision, revision: copy.revision, parts};
}

/**
 * Joins the parts of a copy.
 *
 * @param copy - what is held
 * @returns the whole document
 */
export function toDocument(copy: ConfigurationCopy): ConfigurationDocument {
	const documents = [...copy.parts.values()].map(({document}) => document);
	return {
		services: documents.flatMap(({services}) => services),
		customers: documents.flatMap(({customers}) => customers),
	};
}
