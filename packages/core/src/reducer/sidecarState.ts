import {MINUTE_MS} from '@damaskspool/shared';
import {createOrderState, type OrderState} from '../fleet/orderState.js';
import {type AdmissionState, type Capacity} from '../admission/admissionState.js';
import {createSidecarUsageState, type SidecarUsageState} from '../usage/sidecarUsage.js';

/** Covers several usage flushes of an entry. */
const DEFAULT_USAGE_ORPHAN_AFTER_MS = 5 * MINUTE_MS;

/** State of a sidecar's reducer. */
export type SidecarState = {
	readonly instanceId: string;
	isStopping: boolean;
	admission: AdmissionState;
	orders: OrderState;
	usage: SidecarUsageState;
};

/** Options of {@link createSidecarState}. */
export type SidecarStateOptions = {
	readonly instanceId: string;
	readonly capacity: Capacity;
	/** Unique among all processes that ever run beside this target. */
	readonly processId?: string;
	readonly region?: string;
	/** How long the sidecar waits for an entry to store the usage of an attempt before it stores the usage itself. */
	readonly usageOrphanAfterMs?: number;
};

/** Creates the initial state of a sidecar. */
export function createSidecarState(options: SidecarStateOptions): SidecarState {
	const {instanceId, region = '', processId = instanceId, usageOrphanAfterMs = DEFAULT_USAGE_ORPHAN_AFTER_MS} = options;
	return {
		instanceId: options.instanceId,
		isStopping: false,
		orders: createOrderState(options.processId ?? options.instanceId),
		admission: {
			targetId: options.instanceId,
			capacity: options.capacity,
			lifecycleState: 'starting',
			role: 'mixed',
			models: [],
			running: new Map(),
			waiting: [],
			tokenCounters: new Map(),
			usedKvBlocks: 0,
			prefillingTokens: new Map(),
			prefillTokensTotal: 0,
			generatedTokensTotal: 0,
			targetReportedAtMs: 0,
		},
		usage: createSidecarUsageState({region, runId: `${instanceId}~${processId}`, orphanAfterMs: usageOrphanAfterMs}),
	};
}
