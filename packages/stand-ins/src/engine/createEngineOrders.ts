import {type ServerResponse} from 'node:http';
import {compareOrders, type OrderNumber, type TargetRole} from '@damaskspool/shared';
import {sendJson, type StandInRequest} from '../serveJson.js';

/** An order as the engine received it. */
export type EngineOrder = OrderNumber & {
	readonly role?: TargetRole;
	readonly modelId?: string;
	/** Whether the engine accepted the order. An engine that checks fencing tokens refuses outdated orders. */
	readonly isTaken: boolean;
	readonly receivedAtMs: number;
};

/** Options of {@link createEngineOrders}. */
export type EngineOrdersOptions = {
	/** Whether orders with an outdated fencing token are refused. Some engines ignore the token. */
	readonly checksFencing: boolean;
	readonly changeRole: (role: TargetRole) => Promise<void>;
	readonly loadModel: (modelId: string) => Promise<void>;
};

/** Order handling of an engine. */
export type EngineOrders = {
	/** Every order received, accepted or refused. */
	readonly log: readonly EngineOrder[];
	/** Counts the accepted orders that arrived while another was being carried out. */
	readonly countOverlaps: () => number;
	readonly handle: (request: StandInRequest, response: ServerResponse) => Promise<void>;
};

/**
 * Creates the handler of an engine for orders to change its role or to load a
 * model. An order without a role loads a model.
 */
export function createEngineOrders(options: EngineOrdersOptions): EngineOrders {
	const log: EngineOrder[] = [];
	let highest: OrderNumber = {epoch: 0, sequence: 0};
	let activeOrders = 0;
	let overlapCount = 0;

	return {
		log,
		countOverlaps: () => overlapCount,
		async handle(request, response) {
			const order = JSON.parse(request.body) as Omit<EngineOrder, 'isTaken' | 'receivedAtMs'>;
			const isAccepted = !options.checksFencing || compareOrders(order, highest) >= 0;
			log.push({...order, isTaken: isAccepted, receivedAtMs: performance.now()});
			if (!isAccepted) {
				sendJson(response, 409, {highest});
				return;
			}

			highest = compareOrders(order, highest) > 0 ? {epoch: order.epoch, sequence: order.sequence} : highest;
			overlapCount += activeOrders > 0 ? 1 : 0;
			activeOrders += 1;
			try {
				await (order.role === undefined ? options.loadModel(order.modelId ?? '') : options.changeRole(order.role));
			} finally {
				activeOrders -= 1;
			}

			sendJson(response, 200, {});
		},
	};
}
