import {createOrderState, type OrderState} from '../fleet/orderState.js';
import {type AdmissionState, type Capacity} from '../admission/admissionState.js';

/** The whole state of a sidecar's decisions. */
export type SidecarState = {
	readonly instanceId: string;
	isStopping: boolean;
	admission: AdmissionState;
	orders: OrderState;
};

/** Options of {@link createSidecarState}. */
export type SidecarStateOptions = {
	readonly instanceId: string;
	readonly capacity: Capacity;
	/** Differs in each process that ever runs beside this target. */
	readonly processId?: string;
};

/**
 * Creates the first state of a sidecar.
 *
 * @param options - identity of the target's instance and how much the target takes at once
 * @returns the state
 */
export function createSidecarState(options: SidecarStateOptions): SidecarState {
	return {
		instanceId: options.instanceId,
		isStopping: false,
		orders: createOrderState(options.processId ?? options.instanceId),
		admission: {
			targetId: options.instanceId,
			capacity: options.capacity,
			lifeState: 'starting',
			role: 'mixed',
			models: [],
			running: new Map(),
			waiting: [],
			usedPieces: 0,
			prefillingTokens: new Map(),
			prefillTokensTotal: 0,
			generatedTokensTotal: 0,
			reportedAtMs: 0,
		},
	};
}
