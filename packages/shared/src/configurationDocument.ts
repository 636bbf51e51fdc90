import {z} from 'zod';

const routeSchema = z.strictObject({
	method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
	/** Path prefix; the longest prefix that fits wins. */
	path: z.string().startsWith('/'),
	/** Open routes need no key. */
	access: z.enum(['open', 'keyed']),
	/** A call that may not be repeated is sent to one target once. */
	repeatable: z.boolean(),
	deadlineMs: z.number().int().positive(),
	bodyLimitBytes: z.number().int().positive(),
});

/** Schema of one service. */
export const serviceSchema = z.strictObject({
	serviceId: z.string().min(1),
	kind: z.enum(['model', 'plain']),
	routes: z.array(routeSchema).min(1),
	/** Models with their adapters and versions, as `model`, `model:adapter` or `model:adapter@version`. */
	models: z.array(z.string()).default([]),
	firstTokenGoalMs: z.number().positive().default(720),
	betweenTokensGoalMs: z.number().positive().default(41),
});

/** Schema of one customer. */
export const customerSchema = z.strictObject({
	customerId: z.string().min(1),
	keyHashes: z.array(z.string().length(64)),
	requestsPerSecond: z.number().positive().optional(),
	tokensPerSecond: z.number().positive().optional(),
	/** Weight of the customer in fair queueing. */
	weight: z.number().positive().default(1),
	/** May use the operators' interface. */
	operator: z.boolean().default(false),
	/** Services that the customer may call; all where left out. */
	services: z.array(z.string()).optional(),
});

/**
 * The whole configuration of a deployment. Unknown keys are refused, so that a
 * misspelt limit is an error and not an absent limit.
 */
export const configurationDocumentSchema = z.strictObject({
	services: z.array(serviceSchema),
	customers: z.array(customerSchema),
});

/** See {@link configurationDocumentSchema}. */
export type ConfigurationDocument = z.infer<typeof configurationDocumentSchema>;
/** One service of the configuration. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>;
/** One route of a service. */
export type RouteConfiguration = z.infer<typeof routeSchema>;
/** One customer of the configuration. */
export type CustomerConfiguration = z.infer<typeof customerSchema>;

/** The configuration in force: a rising revision and its document. */
export const configurationSchema = z.strictObject({
	revision: z.number().int().nonnegative(),
	document: configurationDocumentSchema,
});

/** See {@link configurationSchema}. */
export type Configuration = z.infer<typeof configurationSchema>;
