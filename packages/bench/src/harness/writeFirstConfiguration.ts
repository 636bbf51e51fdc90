import {createConfigurationCopy, planChange} from '@damaskspool/core';
import {CONFIGURATION_HEAD_KEY, type ConfigurationDocument} from '@damaskspool/shared';
import {type Platform} from '@damaskspool/stand-ins';

/**
 * Writes the first configuration of a deployment to the store of its platform
 * stand-in. Throws if the document is invalid.
 *
 * @param platform - platform whose store contains no configuration yet
 */
export function writeFirstConfiguration(platform: Platform, document: ConfigurationDocument): void {
	const plan = planChange({
		head: undefined,
		copy: createConfigurationCopy(),
		proposal: {changeId: 'first-configuration', edits: [{type: 'setDocument', document}]},
		baseRevision: 0,
		documentId: 'first',
	});
	if (plan.err) {
		throw new Error(plan.val.message);
	}

	if (plan.val.kind === 'write') {
		for (const {key, value} of plan.val.writes) {
			platform.store.write(key, value, 0);
		}

		platform.store.write(CONFIGURATION_HEAD_KEY, plan.val.head, 0);
	}
}
