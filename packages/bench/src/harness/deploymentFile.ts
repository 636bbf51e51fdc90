import path from 'node:path';
import {formatProblem, readSettings} from '@damaskspool/runtime';
import {configurationDocumentSchema, type ConfigurationDocument} from '@damaskspool/shared';
import {z} from 'zod';

const rangeSchema = z.tuple([z.number().int().nonnegative(), z.number().int().positive()]);

const poolSchema = z.strictObject({
	service: z.string(),
	kind: z.enum(['engine', 'plain']),
	count: z.number().int().positive(),
	models: z.array(z.string()),
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
	/** Part of all requests, beside the shares of the other kinds. */
	share: z.number().positive(),
});

/** A deployment as committed under examples/: its instances and the work that its callers send. */
export const deploymentSchema = z.strictObject({
	name: z.string(),
	region: z.string(),
	availabilityZones: z.array(z.string()).min(1),
	/** Availability zone of each entry. */
	entries: z.array(z.string()).min(1),
	pools: z.array(poolSchema),
	/** File beside this one. */
	configuration: z.string(),
	customers: z.array(z.strictObject({customer: z.string(), share: z.number().positive()})),
	requestsPerSecond: z.number().positive(),
	traffic: z.array(trafficClassSchema).min(1),
});

/** See {@link deploymentSchema}. */
export type DeploymentFile = z.output<typeof deploymentSchema>;
/** One pool of targets. */
export type Pool = z.output<typeof poolSchema>;
/** One kind of request. */
export type TrafficClass = z.output<typeof trafficClassSchema>;

/** A deployment with its configuration. */
export type Deployment = {
	readonly file: DeploymentFile;
	readonly document: ConfigurationDocument;
};

/**
 * Reads a deployment.
 *
 * @param directory - folder that holds `deployment.jsonc`
 * @returns the deployment; throws with every problem where it is not valid
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
