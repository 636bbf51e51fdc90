import {type SidecarContext, type SidecarPart} from './sidecarPart.js';

/**
 * Creates the part of a sidecar that records decisions in the log.
 *
 * @param context - what the sidecar shares among its parts
 * @returns the part
 */
export function createSidecarDecisionPart({logger}: SidecarContext): SidecarPart<'decision.record'> {
	return {
		effectHandlers: {
			'decision.record'({name, subject, detail}) {
				logger.info(name, {subject, ...detail});
			},
		},
	};
}
