import path from 'node:path';
import {formatProblem, readSettings} from '@damaskspool/runtime';
import {configurationDocumentSchema, type ConfigurationDocument, createListSchema} from '@damaskspool/shared';
import {z} from 'zod';

const rangeSchema = z.tuple([z.number().int().nonnegative(), z.number().int().positive()]);

const poolSchema = z.strictObject({
	service: z.string(),
	kind: z.enum(['engine', 'plain']),
	count: z.number().int().positive(),
	models: createListSchema(z.string()),
	concurrency: z.number().int().positive(),
	pieces: z.number().int().nonnegative(),
	queueLimit: z.number().int().nonnegative(),
});

const trafficClassSchema = z.strictObject({
	name: z.string(),
	service: z.string(),
	model: z.string().optional(),
	method: z.enum(['GET', 'POST']).default('POST'),
	path: z.string().startsWith('/'),
	promptTokens: rangeSchema.optional(),
	maxTokens: rangeSchema.optional(),
	/** Share of all requests, relative to the shares of the other traffic classes. */
	share: z.number().positive(),
});

/** Schema of a deployment file under examples/: the instances and the requests that callers send. */
export const deploymentSchema = z.strictObject({
	name: z.string(),
	region: z.string(),
	availabilityZones: createListSchema(z.string(), {minLength: 1}),
	/** Availability zone of each entry. */
	entries: createListSchema(z.string(), {minLength: 1}),
	pools: createListSchema(poolSchema),
	/** File name of the configuration document, in the same folder. */
	configuration: z.string(),
	customers: createListSchema(z.strictObject({customer: z.string(), share: z.number().positive()})),
	requestsPerSecond: z.number().positive(),
	traffic: createListSchema(trafficClassSchema, {minLength: 1}),
});

/** See {@link deploymentSchema}. */
export type DeploymentFile = z.output<typeof deploymentSchema>;
/** One pool of targets. */
export type Pool = z.output<typeof poolSchema>;
/** One class of requests with the same service, path and size range. */
export type TrafficClass = z.output<typeof trafficClassSchema>;

/** A deployment with its configuration document. */
export type Deployment = {
	readonly file: DeploymentFile;
	readonly document: ConfigurationDocument;
};

/**
 * Reads and validates a deployment. Throws an error that lists every problem of
 * an invalid file.
 *
 * @param directory - folder that contains `deployment.jsonc`
 */
export async function readDeployment(directory: string): Promise<Deployment> {
	const file = await readValidated(path.join(directory, 'deployment.jsonc'), deploymentSchema);
	const document = await readValidated(path.join(directory, file.configuration), configurationDocumentSchema);
	return {file, document};
}

async function readValidated<Schema extends z.ZodType>(file: string, schema: Schema): Promise<z.output<Schema>> {
	const result = await readSettings(file, schema);
	if (result.err) {
		throw new Error(result.val.map(problem => formatProblem(problem)).join('\n'));
	}

	return result.val;
}
