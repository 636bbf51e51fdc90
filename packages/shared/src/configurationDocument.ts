import {z} from 'zod';
import {createListSchema} from './createListSchema.js';

const routeSchema = z.strictObject({
	method: z.enum(['GET', 'POST', 'PUT', 'DELETE']),
	/** Path prefix. If several routes match, the longest prefix wins. */
	path: z.string().startsWith('/'),
	/** `keyed` routes require an API key; `open` routes do not. */
	access: z.enum(['open', 'keyed']),
	/** Whether a call may be attempted more than once. A non-repeatable call is sent to one target, once. */
	repeatable: z.boolean(),
	/** Time from the arrival of a request until its response must be complete, in milliseconds. */
	deadlineMs: z.number().int().positive(),
	/** Maximum size of a request body. */
	bodyLimitBytes: z.number().int().positive(),
});

/** Schema of a service. */
export const serviceSchema = z.strictObject({
	serviceId: z.string().min(1),
	/** `model`: targets are model engines. `plain`: targets serve ordinary HTTP calls. */
	kind: z.enum(['model', 'plain']),
	routes: createListSchema(routeSchema, {minLength: 1}),
	/** Offered models, as `model`, `model:adapter` or `model:adapter@version`. */
	models: createListSchema(z.string()).default([]),
	/** Latency objective for the time to the first token, in milliseconds. */
	firstTokenGoalMs: z.number().positive().default(720),
	/** Latency objective for the time between two tokens, in milliseconds. */
	betweenTokensGoalMs: z.number().positive().default(41),
});

/** Schema of a customer. */
export const customerSchema = z.strictObject({
	customerId: z.string().min(1),
	/** SHA-256 digests of the customer's API keys, as 64 hexadecimal digits each. */
	keyHashes: createListSchema(z.string().length(64)),
	requestsPerSecond: z.number().positive().optional(),
	tokensPerSecond: z.number().positive().optional(),
	/** Weight of the customer in fair queueing. */
	weight: z.number().positive().default(1),
	/** Whether the customer may use the operator interface. */
	operator: z.boolean().default(false),
	/** Identifiers of the services that the customer may call. If absent, all services. */
	services: createListSchema(z.string()).optional(),
});

/**
 * Schema of the complete configuration of a deployment. Rejects unknown keys:
 * a misspelt limit is an error instead of a missing limit.
 */
export const configurationDocumentSchema = z.strictObject({
	services: createListSchema(serviceSchema),
	customers: createListSchema(customerSchema),
});

/** See {@link configurationDocumentSchema}. */
export type ConfigurationDocument = z.infer<typeof configurationDocumentSchema>;
/** See {@link serviceSchema}. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>;
/** Route of a service. */
export type RouteConfiguration = z.infer<typeof routeSchema>;
/** See {@link customerSchema}. */
export type CustomerConfiguration = z.infer<typeof customerSchema>;

/** Schema of the configuration in force. The revision increases with each accepted change. */
export const configurationSchema = z.strictObject({
	revision: z.number().int().nonnegative(),
	document: configurationDocumentSchema,
});

/** See {@link configurationSchema}. */
export type Configuration = z.infer<typeof configurationSchema>;
