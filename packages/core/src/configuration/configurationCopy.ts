import {
	type ConfigurationDocument, type ConfigurationHead, type ConfigurationPart, type ConfigurationUpdate,
} from '@damaskspool/shared';

/** A part of the configuration with the identifier of its stored document. */
export type PartCopy = {
	readonly documentId: string;
	readonly document: ConfigurationPart;
};

/** The local copy of the stored configuration. */
export type ConfigurationCopy = {
	/** Zero until the first update is applied. */
	revision: number;
	/** Parts by name. */
	parts: Map<string, PartCopy>;
	/** Names of the parts that each of the latest updates changed, oldest first. */
	recentUpdates: Array<{readonly fromRevision: number; readonly partNames: readonly string[]}>;
};

/** A peer that missed at most this many updates is sent only the parts that changed. */
const MAX_RECENT_UPDATES = 64;

/**
 * Creates an empty copy.
 */
export function createConfigurationCopy(): ConfigurationCopy {
	return {revision: 0, parts: new Map(), recentUpdates: []};
}

/**
 * Finds the documents that a head names and the copy does not hold.
 *
 * @returns names and document identifiers of the missing parts
 */
export function findMissingParts(copy: ConfigurationCopy, head: ConfigurationHead): Array<{name: string; documentId: string}> {
	return Object.entries(head.parts)
		.filter(([name, documentId]) => copy.parts.get(name)?.documentId !== documentId)
		.map(([name, documentId]) => ({name, documentId}));
}

/**
 * Applies an update if its revision is later than that of the copy. A partial
 * update must also start from the revision of the copy.
 *
 * @param copy - copy, modified in place
 * @param update - full configuration, or the parts that changed since `fromRevision`
 * @returns whether the update was applied
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
 * Creates the update that brings a peer from its revision to the revision of the copy.
 *
 * @param copy - local copy
 * @param sinceRevision - revision of the peer
 * @returns the parts that changed since that revision, or all parts if the recent
 *   updates do not reach back that far, or undefined if the peer is not behind
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
 * Joins the parts of a copy into the full document.
 */
export function toDocument(copy: ConfigurationCopy): ConfigurationDocument {
	const documents = [...copy.parts.values()].map(({document}) => document);
	return {
		services: documents.flatMap(({services}) => services),
		customers: documents.flatMap(({customers}) => customers),
	};
}
