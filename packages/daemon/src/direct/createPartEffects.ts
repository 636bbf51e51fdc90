import {z} from 'zod';
import {createListSchema} from '@damaskspool/shared';
import {
	MAX_QUARANTINE_MS, MAX_QUARANTINES, MAX_STORED_PARTS, PART_HASH_DIGITS, type ServingEffect, type ServingEvent, type StoredParts,
} from '@damaskspool/core';
import {
	type DeploymentPorts, type EffectHandlers, type Logger, type UntimedEvent,
} from '@damaskspool/runtime';
import {createKeptObject} from './createKeptObject.js';

/** Options of {@link createPartEffects}. */
export type PartEffectsOptions = {
	readonly ports: DeploymentPorts;
	readonly logger: Logger;
	readonly dispatch: (event: UntimedEvent<ServingEvent>) => void;
};

const storedPartsSchema: z.ZodType<StoredParts> = z.object({
	quarantines: createListSchema(z.tuple([
		createListSchema(z.string().length(PART_HASH_DIGITS), {minLength: 1, maxLength: MAX_STORED_PARTS}),
		z.number().nonnegative(),
		z.number().positive().max(MAX_QUARANTINE_MS),
	]), {maxLength: MAX_QUARANTINES}),
});

/** Handlers of effects that concern the quarantined prompt parts that the store keeps. */
export type PartEffects = Pick<EffectHandlers<ServingEffect>, 'parts.read' | 'parts.write'>;

/** Creates the handlers that read and write these parts. Each dispatches its result as an event. */
export function createPartEffects({ports, logger, dispatch}: PartEffectsOptions): PartEffects {
	const object = createKeptObject({
		store: ports.store, ...ports.objects.quarantinedParts, schema: storedPartsSchema, logger, logName: 'parts',
	});
	const read = async () => {
		dispatch({type: 'parts.readEnded', result: await object.read()});
	};

	const write = async ({stored, expectedVersion}: Extract<ServingEffect, {type: 'parts.write'}>) => {
		dispatch({type: 'parts.writeEnded', result: await object.write(stored, expectedVersion)});
	};

	return {
		'parts.read'() {
			void read();
		},
		'parts.write'(effect) {
			void write(effect);
		},
	};
}
