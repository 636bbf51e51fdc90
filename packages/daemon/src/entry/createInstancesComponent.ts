import {instanceRecordSchema, createListSchema} from '@damaskspool/shared';
import {z} from 'zod';
import {startPeriodicTask} from '../startPeriodicTask.js';
import {type EntryContext, type EntryComponent} from './entryComponent.js';

const instanceListSchema = z.object({instances: createListSchema(instanceRecordSchema)});

/** Creates the component that polls the platform's instance list. A failed read leaves the known instances unchanged. */
export function createInstancesComponent(context: EntryContext): EntryComponent {
	const {objectApi, metrics, settings, dispatch, readState} = context;
	let stop: (() => void) | undefined;

	const readInstances = async () => {
		const response = await objectApi.call('GET', '/instances');
		const list = response.ok ? instanceListSchema.safeParse(response.val).data : undefined;
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
