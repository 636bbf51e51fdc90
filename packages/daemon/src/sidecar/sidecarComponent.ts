import {type SidecarEffect, type SidecarEvent, type SidecarState} from '@damaskspool/core';
import {
	type EffectHandlers, type Logger, type Metrics, type ObjectApiClient, type RpcMethods, type UntimedEvent,
} from '@damaskspool/runtime';
import {type Dispatcher} from 'undici';
import {type SidecarSettings} from '../settings.js';

/** What the components of a sidecar share. */
export type SidecarContext = {
	readonly settings: SidecarSettings;
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Used to read the target's assignment, to admit weight loads and to store usage. Sidecars do not watch objects. */
	readonly objectApi: ObjectApiClient;
	/** Connection pool to the target. */
	readonly targetDispatcher: Dispatcher;
	readonly dispatch: (event: UntimedEvent<SidecarEvent>) => void;
	readonly readState: () => SidecarState;
	/** Returns the loop's clock in milliseconds. */
	readonly readClock: () => number;
};

/** A component of a sidecar's runtime. It handles some of the effects and dispatches events. */
export type SidecarComponent<EffectType extends SidecarEffect['type'] = never> = {
	readonly effectHandlers: Pick<EffectHandlers<SidecarEffect>, EffectType>;
	readonly rpcMethods?: RpcMethods;
	readonly updateGauges?: () => void;
	/** Called after the sidecar has begun to listen. */
	readonly start?: () => void;
	/** Called after the last work has ended. */
	readonly stop?: () => Promise<void> | void;
};
