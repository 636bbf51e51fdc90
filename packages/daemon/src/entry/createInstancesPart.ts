import {instanceRecordSchema} from '@damaskspool/shared';
import {z} from 'zod';
import {startPeriodicTask} from '../startPeriodicTask.js';
import {type EntryContext, type EntryPart} from './entryPart.js';

const instanceListSchema = z.object({instances: z.array(instanceRecordSchema)});

/**
 * Creates the part of an entry that reads the platform's instance list at an
 * interval. A read that fails changes nothing.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createInstancesPart(context: EntryContext): EntryPart {
	const {objectApi, metrics, settings, dispatch, readState} = context;
	let stop: (() => void) | undefined;

	const readInstances = async () => {
		const read = await objectApi.call('GET', '/instances');
		const list = read.ok ? instanceListSchema.safeParse(read.val).data : undefined;
		if (list !== undefined) {
			dispatch({type: 'instances.listed', instances: list.instances});
		}
	};

	return {
		effectHandlers: {},
		updateGauges() {
			metrics.setGauge('known_targets', readState().membership.targets.size);
		},
		start() {
			stop = startPeriodicTask({task: readInstances, intervalMs: settings.pollInterval});
		},
		stop() {
			stop?.();
		},
	};
}
