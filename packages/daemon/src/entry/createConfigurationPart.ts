import {CONFIGURATION_KEY, configurationSchema} from '@damaskspool/shared';
import {startRepeating} from '../startRepeating.js';
import {type EntryContext, type EntryPart} from './entryPart.js';

/**
 * Creates the part of an entry that reads the configuration at an interval. A
 * read that fails changes nothing: the entry goes on with what it knows.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createConfigurationPart(context: EntryContext): EntryPart {
	const {objectApi, metrics, settings, dispatch, readState} = context;
	let stop: (() => void) | undefined;

	const readConfiguration = async () => {
		const read = await objectApi.read(CONFIGURATION_KEY);
		const configuration = read.ok ? configurationSchema.safeParse(read.val?.value).data : undefined;
		if (configuration !== undefined) {
			dispatch({type: 'configuration.read', configuration});
		}
	};

	return {
		effectHandlers: {},
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
