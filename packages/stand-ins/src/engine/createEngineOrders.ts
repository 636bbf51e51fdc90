import {type ServerResponse} from 'node:http';
import {compareOrders, type OrderNumber, type TargetRole} from '@damaskspool/shared';
import {sendJson, type StandInRequest} from '../serveJson.js';

/** One order as an engine received it. */
export type EngineOrder = OrderNumber & {
	readonly role?: TargetRole;
	readonly modelId?: string;
	/** Whether the engine carried it out; one that checks fencing numbers refuses old ones. */
	readonly isTaken: boolean;
	readonly receivedAtMs: number;
};

/** Options of {@link createEngineOrders}. */
export type EngineOrdersOptions = {
	/** Whether orders with an old fencing number are refused. Some engines ignore it. */
	readonly checksFencing: boolean;
	readonly changeRole: (role: TargetRole) => Promise<void>;
	readonly loadModel: (modelId: string) => Promise<void>;
};

/** The part of an engine that takes orders. */
export type EngineOrders = {
	/** Every order that came, taken or not. */
	readonly log: readonly EngineOrder[];
	/** Times at which an order came while another was under way. */
	readonly countOverlaps: () => number;
	readonly handle: (request: StandInRequest, response: ServerResponse) => Promise<void>;
};

/**
 * Creates the part of an engine that takes orders to change role or load a model.
 *
 * @param options - fencing check, and how orders are carried out
 * @returns the part
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
