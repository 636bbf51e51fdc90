import {z} from 'zod';
import {createListSchema} from './createListSchema.js';
import {configurationDocumentSchema, customerSchema, serviceSchema} from './configurationDocument.js';

const keyHashSchema = z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 digest as 64 hexadecimal digits');

/** Schema of an edit of the configuration. Key edits commute with each other and with all other edits; the other edits replace or remove the item that they name. */
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

/** Schema of a proposed change. A change is atomic: all of its edits are accepted, or none. */
export const configurationProposalSchema = z.strictObject({
	/** Identifier that the proposer gives to the change. A change that is proposed again under the same identifier is accepted only once. */
	changeId: z.string().min(8).max(64),
	edits: createListSchema(configurationEditSchema, {minLength: 1}),
	/** Revision on which the edits are based. If absent, the latest. */
	baseRevision: z.number().int().nonnegative().optional(),
});

/** See {@link configurationProposalSchema}. */
export type ConfigurationProposal = z.infer<typeof configurationProposalSchema>;

/** Confirmation that a change was accepted. */
export type ChangeReceipt = {
	readonly changeId: string;
	/** Revision that contains the change. */
	readonly revision: number;
};
