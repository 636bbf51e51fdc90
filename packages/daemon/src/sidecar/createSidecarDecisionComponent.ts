import {type SidecarContext, type SidecarComponent} from './sidecarComponent.js';

/** Creates the component that writes decisions to the log. */
export function createSidecarDecisionComponent({logger}: SidecarContext): SidecarComponent<'decision.record'> {
	return {
		effectHandlers: {
			'decision.record'({name, subject, detail}) {
				logger.info(name, {subject, ...detail});
			},
		},
	};
}
