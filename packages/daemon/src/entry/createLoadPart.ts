import {loadReportSchema} from '@damaskspool/shared';
import {type EntryContext, type EntryPart} from './entryPart.js';

/**
 * Creates the part of an entry that reads load reports of sidecars between
 * those that come with answers; core decides whose.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createLoadPart(context: EntryContext): EntryPart<'load.read'> {
	const {rpc, settings, dispatch} = context;
	const intervalMs = settings.pollInterval;
	let timer: NodeJS.Timeout | undefined;

	const readLoad = async (address: string, afterSequence: number) => {
		const read = await rpc.call(address, 'load.get', {afterSequence});
		const load = read.ok ? loadReportSchema.safeParse(read.val).data : undefined;
		if (load !== undefined) {
			dispatch({type: 'load.reported', load});
		}
	};

	return {
		effectHandlers: {
			'load.read'({address, afterSequence}) {
				void readLoad(address, afterSequence);
			},
		},
		start() {
			timer = setInterval(() => {
				dispatch({type: 'load.readDue', intervalMs});
			}, intervalMs);
		},
		stop() {
			clearInterval(timer);
		},
	};
}
