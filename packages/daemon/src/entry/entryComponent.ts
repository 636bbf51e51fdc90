import {type EntryEffect, type EntryEvent, type EntryState} from '@damaskspool/core';
import {
	type EffectHandlers, type Logger, type Metrics, type ObjectApiClient, type RpcClient, type RpcMethods, type UntimedEvent,
} from '@damaskspool/runtime';
import {
	type ChangeReceipt, type ConfigurationProposal, type Failure, type Result,
} from '@damaskspool/shared';
import {type EntrySettings} from '../settings.js';
import {type ConfigurationStatus} from './readConfigurationStatus.js';

/** What the components of an entry share. */
export type EntryContext = {
	readonly settings: EntrySettings;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly objectApi: ObjectApiClient;
	readonly rpc: RpcClient;
	/** Returns the control address at which peers reach this entry; empty until the entry listens. */
	readonly readControlAddress: () => string;
	readonly dispatch: (event: UntimedEvent<EntryEvent>) => void;
	readonly readState: () => EntryState;
	/** Queries every entry whether it has a revision; the default is the revision of this entry's copy. */
	readonly readConfigurationStatus: (revision?: number) => Promise<ConfigurationStatus>;
	/** Proposes a change of the configuration. The change is accepted once the promise resolves with a receipt. */
	readonly proposeChange: (proposal: ConfigurationProposal) => Promise<Result<ChangeReceipt, Failure>>;
	/** Returns the loop's clock in milliseconds. */
	readonly readClock: () => number;
};

/** A component of an entry's runtime. It handles some of the effects and dispatches events. */
export type EntryComponent<EffectType extends EntryEffect['type'] = never> = {
	readonly effectHandlers: Pick<EffectHandlers<EntryEffect>, EffectType>;
	readonly rpcMethods?: RpcMethods;
	readonly updateGauges?: () => void;
	/** Called after the entry has begun to listen. */
	readonly start?: () => void;
	/** Called after the last request has ended. */
	readonly stop?: () => Promise<void> | void;
};
