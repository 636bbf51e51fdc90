import {
	CONFIGURATION_KEY, configurationSchema, instanceRecordSchema, loadReportSchema,
} from '@damaskspool/shared';
import {z} from 'zod';
import {type EntryContext, type EntryPart} from './entryPart.js';

const instanceListSchema = z.object({instances: z.array(instanceRecordSchema)});

/**
 * Creates the part of an entry that reads configuration, instance list and load
 * reports at an interval. A read that fails changes nothing: the entry goes on
 * with what it knows.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createPollPart(context: EntryContext): EntryPart {
	const {objectApi, rpc, metrics, settings, dispatch, readState} = context;

	const readConfiguration = async () => {
		const read = await objectApi.read(CONFIGURATION_KEY);
		const configuration = read.ok ? configurationSchema.safeParse(read.val?.value).data : undefined;
		if (configuration !== undefined) {
			dispatch({type: 'configuration.read', configuration});
		}
	};

	const readInstances = async () => {
		const read = await objectApi.call('GET', '/instances');
		const list = read.ok ? instanceListSchema.safeParse(read.val).data : undefined;
		if (list !== undefined) {
			dispatch({type: 'instances.listed', instances: list.instances});
		}
	};

	const readLoad = async (address: string) => {
		const read = await rpc.call(address, 'load.get', {});
		const load = read.ok ? loadReportSchema.safeParse(read.val).data : undefined;
		if (load !== undefined) {
			dispatch({type: 'load.reported', load});
		}
	};

	const readAll = async () => {
		await Promise.all([readConfiguration(), readInstances()]);
		const targets = [...readState().membership.targets.values()];
		await Promise.all(targets.map(async target => readLoad(target.address)));
	};

	let isEnded = false;
	let timer: NodeJS.Timeout | undefined;
	const repeat = async () => {
		await readAll();
		if (!isEnded) {
			timer = setTimeout(() => {
				void repeat();
			}, settings.pollInterval);
		}
	};

	return {
		effectHandlers: {},
		updateGauges() {
			metrics.setGauge('known_targets', readState().membership.targets.size);
			metrics.setGauge('configuration_revision', readState().configuration.revision);
		},
		start() {
			void repeat();
		},
		stop() {
			isEnded = true;
			clearTimeout(timer);
		},
	};
}
