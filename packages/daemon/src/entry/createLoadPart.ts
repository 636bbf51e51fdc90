import {type TargetView} from '@damaskspool/core';
import {loadReportSchema} from '@damaskspool/shared';
import {startRepeating} from '../startRepeating.js';
import {type EntryContext, type EntryPart} from './entryPart.js';

/**
 * Creates the part of an entry that reads load reports of sidecars at an
 * interval, between those that come with answers.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createLoadPart(context: EntryContext): EntryPart {
	const {rpc, settings, dispatch, readState} = context;
	let stop: (() => void) | undefined;

	const readLoad = async ({targetId, address}: TargetView) => {
		const afterSequence = readState().routing.prefixes.get(targetId)?.lastSequence ?? 0;
		const read = await rpc.call(address, 'load.get', {afterSequence});
		const load = read.ok ? loadReportSchema.safeParse(read.val).data : undefined;
		if (load !== undefined) {
			dispatch({type: 'load.reported', load});
		}
	};

	const readAll = async () => {
		const targets = [...readState().membership.targets.values()];
		await Promise.all(targets.map(async target => readLoad(target)));
	};

	return {
		effectHandlers: {},
		start() {
			stop = startRepeating({task: readAll, intervalMs: settings.pollInterval});
		},
		stop() {
			stop?.();
		},
	};
}
