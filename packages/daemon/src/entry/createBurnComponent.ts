import {
	type BurnLine, type BurnPart, computeBurnReport, listBurnParts,
} from '@damaskspool/core';
import {mergeHistograms, encodeHistogram} from '@damaskspool/runtime';
import {z} from 'zod';
import {createListSchema, createRecordSchema} from '@damaskspool/shared';
import {assertOperator} from './assertOperator.js';
import {type EntryContext, type EntryComponent} from './entryComponent.js';

const countsSchema = z.object({
	requests: z.number(), failed: z.number(), lateFirst: z.number(), lateBetween: z.number(),
});
const entryBurnSchema = z.object({
	parts: createListSchema(z.object({
		customerId: z.string(), serviceId: z.string(), fast: countsSchema, slow: countsSchema, causes: createRecordSchema(z.string(), z.number()),
	})),
	/** Compressed histograms by measure. */
	histograms: createRecordSchema(z.string(), z.string()),
});

type EntryBurn = z.infer<typeof entryBurnSchema>;

/** Reply to `operator.burn`: burn of the error budgets and latencies, merged over all entries that replied. */
export type BurnReply = {
	readonly lines: readonly BurnLine[];
	readonly latencies: ReturnType<typeof mergeHistograms>;
	/** Ids of the peers that did not reply. */
	readonly missing: readonly string[];
};

/** Latency measures that are reported over all requests, not by customer and service. */
const LATENCY_MEASURES = ['first_byte', 'request'] as const;

/** Creates the component that reports error budget burn and latencies, of this entry and of all entries. */
export function createBurnComponent(context: EntryContext): EntryComponent {
	const {readState, readClock, metrics, rpc} = context;

	const computeLocalBurn = (): EntryBurn => ({
		parts: listBurnParts(readState().burn, readClock()),
		histograms: Object.fromEntries(LATENCY_MEASURES.flatMap(measure => {
			const histogram = metrics.histograms.get(measure);
			return histogram === undefined ? [] : [[measure, encodeHistogram(histogram)]];
		})),
	});

	return {
		effectHandlers: {},
		rpcMethods: {
			'operator.burnParts'(_parameters, rpcContext) {
				assertOperator(context, rpcContext);
				return computeLocalBurn();
			},
			async 'operator.burn'(_parameters, rpcContext): Promise<BurnReply> {
				assertOperator(context, rpcContext);
				const missing: string[] = [];
				const burns = [computeLocalBurn()];
				const peers = [...readState().membership.peers.values()];
				await Promise.all(peers.map(async ({instanceId, address}) => {
					const reply = await rpc.call(address, 'operator.burnParts', {}, rpcContext.authorization);
					const burn = reply.ok ? entryBurnSchema.safeParse(reply.val).data : undefined;
					if (burn === undefined) {
						missing.push(instanceId);
					} else {
						burns.push(burn);
					}
				}));
				const parts: BurnPart[] = burns.flatMap(burn => burn.parts);
				return {lines: computeBurnReport(parts), latencies: mergeHistograms(burns.map(({histograms}) => histograms)), missing};
			},
		},
	};
}
