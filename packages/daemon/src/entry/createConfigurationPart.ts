import {
	type ChangeReceipt, type ConfigurationProposal, type Failure, type Result,
} from '@damaskspool/shared';
import {startRepeating} from '../startRepeating.js';
import {createConfigurationStore} from './createConfigurationStore.js';
import {type EntryContext, type EntryPart} from './entryPart.js';

/** The part of an entry that keeps its configuration. */
export type ConfigurationPart = EntryPart & {
	/** Proposes a change; accepted once the receipt is there. */
	readonly proposeChange: (proposal: ConfigurationProposal) => Promise<Result<ChangeReceipt, Failure>>;
};

/**
 * Creates the part of an entry that reads the configuration at an interval and
 * proposes changes. A read that fails changes nothing: the entry goes on with
 * what it knows.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createConfigurationPart(context: EntryContext): ConfigurationPart {
	const {objectApi, metrics, settings, dispatch, readState} = context;
	const store = createConfigurationStore({
		objectApi,
		readCopy: () => readState().configuration.copy,
		onAccepted(update) {
			dispatch({type: 'configuration.updated', update, source: 'proposal'});
		},
	});
	let stop: (() => void) | undefined;

	const readConfiguration = async () => {
		const read = await store.read();
		if (read.ok && read.val.update !== undefined) {
			dispatch({type: 'configuration.updated', update: read.val.update, source: 'store'});
		}
	};

	return {
		effectHandlers: {},
		proposeChange: async proposal => store.propose(proposal),
		updateGauges() {
			metrics.setGauge('configuration_revision', readState().configuration.revision);
		},
		start() {
			stop = startRepeating({task: readConfiguration, intervalMs: settings.pollInterval});
		},
		stop() {
			stop?.();
		},
	};
}
