import {z} from 'zod';
import {configurationDocumentSchema, customerSchema, serviceSchema} from './configurationDocument.js';

const keyHashSchema = z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 digest as 64 hexadecimal digits');

/** One edit of the configuration. Edits of keys commute with all others; the rest replace what they name. */
export const configurationEditSchema = z.discriminatedUnion('type', [
	z.strictObject({type: z.literal('setService'), service: serviceSchema}),
	z.strictObject({type: z.literal('removeService'), serviceId: z.string()}),
	z.strictObject({type: z.literal('setCustomer'), customer: customerSchema}),
	z.strictObject({type: z.literal('removeCustomer'), customerId: z.string()}),
	z.strictObject({type: z.literal('issueKey'), customerId: z.string(), keyHash: keyHashSchema}),
	z.strictObject({type: z.literal('withdrawKey'), customerId: z.string(), keyHash: keyHashSchema}),
	z.strictObject({type: z.literal('setDocument'), document: configurationDocumentSchema}),
]);

/** See {@link configurationEditSchema}. */
export type ConfigurationEdit = z.infer<typeof configurationEditSchema>;

/** A proposed change: accepted whole or not at all. */
export const configurationProposalSchema = z.strictObject({
	/** The proposer's identifier of the change. Proposed again with the same one, it is accepted once. */
	changeId: z.string().min(8).max(64),
	edits: z.array(configurationEditSchema).min(1),
	/** Revision on which the proposer based its edits; the latest where left out. */
	baseRevision: z.number().int().nonnegative().optional(),
});

/** See {@link configurationProposalSchema}. */
export type ConfigurationProposal = z.infer<typeof configurationProposalSchema>;

/** Tells that a change was accepted. */
export type ChangeReceipt = {
	readonly changeId: string;
	readonly revision: number;
};
