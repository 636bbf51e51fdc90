/**
 * How the configuration lies in the object API: immutable documents, each a
 * part of the whole, and one head that names them. A change writes the parts
 * that differ and is accepted by one conditional update of the head.
 */
import {z} from 'zod';
import {customerSchema, serviceSchema} from './configurationDocument.js';

/** Key of the head. */
export const CONFIGURATION_HEAD_KEY = 'configuration/head';

/** One part: the services, or the customers of one shard. */
export const configurationPartSchema = z.strictObject({
	services: z.array(serviceSchema),
	customers: z.array(customerSchema),
});

/** See {@link configurationPartSchema}. */
export type ConfigurationPart = z.infer<typeof configurationPartSchema>;

const acceptedChangeSchema = z.strictObject({
	revision: z.number().int().positive(),
	changeId: z.string(),
	/** What it changed, as `customer:ID` or `service:ID`. */
	subjects: z.array(z.string()),
	/** Keys of the documents that it replaced. */
	replaced: z.array(z.string()),
});

/** One change among the latest that were accepted. */
export type AcceptedChange = z.infer<typeof acceptedChangeSchema>;

/** The head: its revision rises by one with each accepted change. */
export const configurationHeadSchema = z.strictObject({
	revision: z.number().int().positive(),
	/** Document identifier by part name. */
	parts: z.record(z.string(), z.string()),
	/** The latest changes, oldest first, by which lost replies are settled and overlaps found. */
	recent: z.array(acceptedChangeSchema),
});

/** See {@link configurationHeadSchema}. */
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/** What a process sends to one that has an older revision. */
export const configurationUpdateSchema = z.strictObject({
	/** Revision that the receiver must have; undefined where the update is whole. */
	fromRevision: z.number().int().optional(),
	revision: z.number().int().positive(),
	parts: z.array(z.strictObject({
		name: z.string(),
		documentId: z.string(),
		document: configurationPartSchema,
	})),
});

/** See {@link configurationUpdateSchema}. */
export type ConfigurationUpdate = z.infer<typeof configurationUpdateSchema>;

/**
 * Formats the key of a document.
 *
 * @param name - part name
 * @param documentId - identifier of this content of the part
 * @returns key in the object API
 */
export function formatDocumentKey(name: string, documentId: string): string {
	return `configuration/documents/${name}/${documentId}`;
}
