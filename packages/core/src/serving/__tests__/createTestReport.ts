import {type PeerReport} from '../servingMessages.js';

/** Creates a report of a peer that has nothing to tell but the given fields. */
export function createTestReport(overrides: Partial<PeerReport> = {}): PeerReport {
	const {entryId = 'peer'} = overrides;
	return {
		entryId,
		processId: `${entryId}.process`,
		availabilityZone: 'zoneA',
		sequence: 1,
		wallMs: 0,
		work: [],
		prefixUses: [],
		leaving: [],
		limits: [],
		crashes: [],
		poisonParts: {crashes: [], cleared: [], quarantines: []},
		streams: [],
		serviceVersions: [],
		storeEra: 0,
		sealed: [],
		usage: [],
		versionHistory: [],
		allotments: [],
		speeds: [],
		heldTokens: [],
		...overrides,
	};
}
