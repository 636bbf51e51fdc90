import {type EntryContext, type EntryPart} from './entryPart.js';

/**
 * Creates the part of an entry that records decisions in the log.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createDecisionPart({logger}: EntryContext): EntryPart<'decision.record'> {
	return {
		effectHandlers: {
			'decision.record'({name, subject, detail}) {
				logger.info(name, {subject, ...detail});
			},
		},
	};
}
