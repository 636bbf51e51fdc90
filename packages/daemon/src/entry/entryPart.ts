import {type EntryEffect, type EntryEvent, type EntryState} from '@damaskspool/core';
import {
	type EffectHandlers, type Logger, type Metrics, type ObjectApiClient, type RpcClient, type RpcMethods, type UntimedEvent,
} from '@damaskspool/runtime';
import {
	type ChangeReceipt, type ConfigurationProposal, type Failure, type Result,
} from '@damaskspool/shared';
import {type EntrySettings} from '../settings.js';
import {type ConfigurationStatus} from './readConfigurationStatus.js';

/** What every part of an entry may use. */
export type EntryContext = {
	readonly settings: EntrySettings;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly objectApi: ObjectApiClient;
	readonly rpc: RpcClient;
	/** Control address under which peers reach this entry; known once the entry listens. */
	readonly readControlAddress: () => string;
	readonly dispatch: (event: UntimedEvent<EntryEvent>) => void;
	readonly readState: () => EntryState;
	/** Asks every entry which revision is in force there. */
	readonly readConfigurationStatus: (revision?: number) => Promise<ConfigurationStatus>;
	/** Proposes a change of the configuration; accepted once the receipt is there. */
	readonly proposeChange: (proposal: ConfigurationProposal) => Promise<Result<ChangeReceipt, Failure>>;
	readonly readClock: () => number;
};

/** A part of an entry's runtime: carries out some effects, and brings events in. */
export type EntryPart<EffectType extends EntryEffect['type'] = never> = {
	readonly effectHandlers: Pick<EffectHandlers<EntryEffect>, EffectType>;
	readonly rpcMethods?: RpcMethods;
	readonly updateGauges?: () => void;
	/** Called once the entry listens. */
	readonly start?: () => void;
	/** Called after the last request ended. */
	readonly stop?: () => Promise<void> | void;
};
