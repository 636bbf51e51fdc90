import {loadReportSchema} from '@damaskspool/shared';
import {type EntryContext, type EntryComponent} from './entryComponent.js';

/**
 * Creates the component that polls load reports of sidecars, in addition to the reports in the headers of responses. The
 * core package decides which sidecars are polled.
 */
export function createLoadComponent(context: EntryContext): EntryComponent<'load.read'> {
	const {rpc, settings, dispatch} = context;
	const intervalMs = settings.pollInterval;
	let timer: NodeJS.Timeout | undefined;

	const readLoad = async (address: string, afterSequence: number) => {
		const response = await rpc.call(address, 'load.get', {afterSequence});
		const load = response.ok ? loadReportSchema.safeParse(response.val).data : undefined;
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
