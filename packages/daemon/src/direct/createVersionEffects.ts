import {z} from 'zod';
import {
	MAX_IDENTIFIER_LENGTH, MAX_SERVICE_VERSIONS, MAX_SERVICES, type ServingEffect, type ServingEvent, type StoredVersions,
} from '@damaskspool/core';
import {
	type DeploymentPorts, type EffectHandlers, type Logger, type UntimedEvent,
} from '@damaskspool/runtime';
import {isStoreEra, createListSchema, createRecordSchema} from '@damaskspool/shared';
import {createKeptObject} from './createKeptObject.js';

/** Options of {@link createVersionEffects}. */
export type VersionEffectsOptions = {
	readonly ports: DeploymentPorts;
	readonly logger: Logger;
	readonly dispatch: (event: UntimedEvent<ServingEvent>) => void;
};

const identifierSchema = z.string().max(MAX_IDENTIFIER_LENGTH);
const storedVersionsSchema: z.ZodType<StoredVersions> = z.object({
	era: z.number().refine(era => isStoreEra(era)),
	services: createRecordSchema(identifierSchema, createListSchema(identifierSchema, {maxLength: MAX_SERVICE_VERSIONS}), {maxSize: MAX_SERVICES}),
});

/** Handlers of effects that concern the software versions that the store keeps. */
export type VersionEffects = Pick<EffectHandlers<ServingEffect>, 'versions.read' | 'versions.write'>;

/** Creates the handlers that read and write these versions. Each dispatches its result as an event. */
export function createVersionEffects({ports, logger, dispatch}: VersionEffectsOptions): VersionEffects {
	const object = createKeptObject({
		store: ports.store, ...ports.objects.versions, schema: storedVersionsSchema, logger, logName: 'versions',
	});
	const read = async () => {
		dispatch({type: 'versions.readEnded', result: await object.read()});
	};

	const write = async ({stored, expectedVersion}: Extract<ServingEffect, {type: 'versions.write'}>) => {
		dispatch({type: 'versions.writeEnded', result: await object.write(stored, expectedVersion)});
	};

	return {
		'versions.read'() {
			void read();
		},
		'versions.write'(effect) {
			void write(effect);
		},
	};
}
