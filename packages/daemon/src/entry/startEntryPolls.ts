import {type EntryEvent, type EntryState} from '@damaskspool/core';
import {type Loop, type ObjectApiClient, type RpcCaller} from '@damaskspool/runtime';
import {
	CONFIGURATION_KEY, configurationSchema, instanceRecordSchema, loadReportSchema,
} from '@damaskspool/shared';
import {z} from 'zod';

/** Options of {@link startEntryPolls}. */
export type EntryPollsOptions = {
	readonly loop: Loop<EntryState, EntryEvent>;
	readonly objectApi: ObjectApiClient;
	readonly rpc: RpcCaller;
	readonly intervalMs: number;
};

const instanceListSchema = z.object({instances: z.array(instanceRecordSchema)});

/**
 * Starts reading configuration, instance list and load reports at an interval.
 * A read that fails changes nothing: the entry goes on with what it knows.
 *
 * @param options - where to read and what to tell
 * @returns a function that ends the reading
 */
export function startEntryPolls({loop, objectApi, rpc, intervalMs}: EntryPollsOptions): () => void {
	const readConfiguration = async () => {
		const read = await objectApi.read(CONFIGURATION_KEY);
		const configuration = read.ok ? configurationSchema.safeParse(read.val?.value).data : undefined;
		if (configuration !== undefined) {
			loop.dispatch({type: 'configuration.read', configuration});
		}
	};

	const readInstances = async () => {
		const read = await objectApi.call('GET', '/instances');
		const list = read.ok ? instanceListSchema.safeParse(read.val).data : undefined;
		if (list !== undefined) {
			loop.dispatch({type: 'instances.listed', instances: list.instances});
		}
	};

	const readLoad = async (address: string) => {
		const read = await rpc.call(address, 'load.get', {});
		const load = read.ok ? loadReportSchema.safeParse(read.val).data : undefined;
		if (load !== undefined) {
			loop.dispatch({type: 'load.reported', load});
		}
	};

	const readAll = async () => {
		await Promise.all([readConfiguration(), readInstances()]);
		const targets = [...loop.state.membership.targets.values()];
		await Promise.all(targets.map(async target => readLoad(target.address)));
	};

	let isEnded = false;
	let timer: NodeJS.Timeout | undefined;
	const repeat = async () => {
		await readAll();
		if (!isEnded) {
			timer = setTimeout(() => {
				void repeat();
			}, intervalMs);
		}
	};

	void repeat();
	return () => {
		isEnded = true;
		clearTimeout(timer);
	};
}
