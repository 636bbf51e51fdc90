import {type SidecarEffect, type SidecarEvent, type SidecarState} from '@damaskspool/core';
import {
	type EffectHandlers, type Logger, type Metrics, type ObjectApiClient, type RpcMethods, type UntimedEvent,
} from '@damaskspool/runtime';
import {type Dispatcher} from 'undici';
import {type SidecarSettings} from '../settings.js';

/** What every part of a sidecar may use. */
export type SidecarContext = {
	readonly settings: SidecarSettings;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Read when the sidecar starts, and for what must last; sidecars hold no watch. */
	readonly objectApi: ObjectApiClient;
	/** Connections to the target. */
	readonly targetDispatcher: Dispatcher;
	readonly dispatch: (event: UntimedEvent<SidecarEvent>) => void;
	readonly readState: () => SidecarState;
	readonly readClock: () => number;
};

/** A part of a sidecar's runtime: carries out some effects, and brings events in. */
export type SidecarPart<EffectType extends SidecarEffect['type'] = never> = {
	readonly effectHandlers: Pick<EffectHandlers<SidecarEffect>, EffectType>;
	readonly rpcMethods?: RpcMethods;
	readonly updateGauges?: () => void;
	/** Called once the sidecar listens. */
	readonly start?: () => void;
	/** Called after the last work ended. */
	readonly stop?: () => Promise<void> | void;
};
