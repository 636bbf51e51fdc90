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
	recentUpdates: Array<{readonly fromRevision: number; readonly partNames: readonly string[]}>;
};

/** Steps that are remembered, so that a process that missed a few changes is sent only these. */
const MAX_RECENT_UPDATES = 64;

/**
 * Creates a copy that holds nothing.
 *
 * @returns the copy
 */
export function createConfigurationCopy(): ConfigurationCopy {
	return {revision: 0, parts: new Map(), recentUpdates: []};
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
	const isFull = update.fromRevision === undefined;
	if (update.revision <= copy.revision || (!isFull && update.fromRevision !== copy.revision)) {
		return false;
	}

	const parts = new Map(isFull ? [] : copy.parts);
	for (const {name, documentId, document} of update.parts) {
		parts.set(name, {documentId, document});
	}

	const partNames = update.parts
		.filter(({name, documentId}) => copy.parts.get(name)?.documentId !== documentId)
		.map(({name}) => name);
	copy.recentUpdates = [...copy.recentUpdates, {fromRevision: copy.revision, partNames}].slice(-MAX_RECENT_UPDATES);
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

	const firstIndex = copy.recentUpdates.findIndex(update => update.fromRevision === sinceRevision);
	const partNames = firstIndex === -1 || sinceRevision <= 0
		? copy.parts.keys()
		: new Set(copy.recentUpdates.slice(firstIndex).flatMap(update => update.partNames));
	const parts = [...partNames].map(name => ({name, ...copy.parts.get(name)!}));
	return firstIndex === -1 || sinceRevision <= 0
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
