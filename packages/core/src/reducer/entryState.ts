import {type ConfigurationState, createConfigurationState} from '../configuration/configurationState.js';
import {createMembershipState, type MembershipState} from '../membership/membershipState.js';
import {type RequestRecord} from '../request/requestRecord.js';

/** The whole state of an entry's decisions. */
export type EntryState = {
	readonly instanceId: string;
	readonly availabilityZone: string;
	isStopping: boolean;
	configuration: ConfigurationState;
	membership: MembershipState;
	requests: Map<string, RequestRecord>;
};

/** Options of {@link createEntryState}. */
export type EntryStateOptions = {
	readonly instanceId: string;
	readonly availabilityZone: string;
};

/**
 * Creates the first state of an entry.
 *
 * @param options - who and where the entry is
 * @returns the state
 */
export function createEntryState(options: EntryStateOptions): EntryState {
	return {
		instanceId: options.instanceId,
		availabilityZone: options.availabilityZone,
		isStopping: false,
		configuration: createConfigurationState(),
		membership: createMembershipState(),
		requests: new Map(),
	};
}
