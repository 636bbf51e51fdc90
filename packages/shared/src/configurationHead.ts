/**
 * Storage layout of the configuration in the object API. Immutable documents
 * hold one part of the configuration each, and a single head object lists the
 * current documents. A change writes a new document for each changed part and
 * takes effect with one conditional update of the head.
 */
import {z} from 'zod';
import {createListSchema} from './createListSchema.js';
import {createRecordSchema} from './createRecordSchema.js';
import {customerSchema, serviceSchema} from './configurationDocument.js';

/** Key of the head object. */
export const CONFIGURATION_HEAD_KEY = 'configuration/head';

/** Schema of a part: all services, or the customers of one shard. */
export const configurationPartSchema = z.strictObject({
	services: createListSchema(serviceSchema),
	customers: createListSchema(customerSchema),
});

/** See {@link configurationPartSchema}. */
export type ConfigurationPart = z.infer<typeof configurationPartSchema>;

const acceptedChangeSchema = z.strictObject({
	/** Revision that the change created. */
	revision: z.number().int().positive(),
	changeId: z.string(),
	/** Items that the change edited, as `customer:ID` or `service:ID`. */
	subjects: createListSchema(z.string()),
	/** Keys of the documents that the change replaced. */
	replaced: createListSchema(z.string()),
});

/** Record of an accepted change. */
export type AcceptedChange = z.infer<typeof acceptedChangeSchema>;

/** Schema of the head. The revision increases by one with each accepted change. */
export const configurationHeadSchema = z.strictObject({
	revision: z.number().int().positive(),
	/** Identifier of the current document of each part, by part name. */
	parts: createRecordSchema(z.string(), z.string()),
	/** Most recent changes, oldest first. Used to recognise a change whose reply was lost, and to detect overlapping changes. */
	recent: createListSchema(acceptedChangeSchema),
});

/** See {@link configurationHeadSchema}. */
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/** Schema of an update that a process sends to a process with an older revision. */
export const configurationUpdateSchema = z.strictObject({
	/** Revision that the receiver must hold. Absent if the update contains the full configuration. */
	fromRevision: z.number().int().optional(),
	/** Revision after the update. */
	revision: z.number().int().positive(),
	parts: createListSchema(z.strictObject({
		name: z.string(),
		documentId: z.string(),
		document: configurationPartSchema,
	})),
});

/** See {@link configurationUpdateSchema}. */
export type ConfigurationUpdate = z.infer<typeof configurationUpdateSchema>;

/**
 * Returns the object API key of a document.
 *
 * @param name - part name
 */
export function formatDocumentKey(name: string, documentId: string): string {
	return `configuration/documents/${name}/${documentId}`;
}
