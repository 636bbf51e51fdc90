import {
	type BurnLine, type BurnPart, computeBurnReport, listBurnParts,
} from '@damaskspool/core';
import {mergeHistograms, encodeHistogram} from '@damaskspool/runtime';
import {z} from 'zod';
import {assertOperator} from './assertOperator.js';
import {type EntryContext, type EntryPart} from './entryPart.js';

const countsSchema = z.object({
	requests: z.number(), failed: z.number(), lateFirst: z.number(), lateBetween: z.number(),
});
const partsSchema = z.object({
	parts: z.array(z.object({
		customerId: z.string(), serviceId: z.string(), fast: countsSchema, slow: countsSchema, causes: z.record(z.string(), z.number()),
	})),
	/** Histograms by measure, compressed. */
	histograms: z.record(z.string(), z.string()),
});

type EntryBurn = z.infer<typeof partsSchema>;

/** What an operator is told of service levels. */
export type BurnReply = {
	readonly lines: readonly BurnLine[];
	readonly latencies: ReturnType<typeof mergeHistograms>;
	readonly missing: readonly string[];
};

/** Measures that are told for all requests together. */
const MEASURES = ['first_byte', 'request'] as const;

/**
 * Creates the part of an entry that tells of service levels, its own and those of all entries.
 *
 * @param context - what the entry shares among its parts
 * @returns the part
 */
export function createBurnPart(context: EntryContext): EntryPart {
	const {readState, readClock, metrics, rpc} = context;

	const readOwn = (): EntryBurn => ({
		parts: listBurnParts(readState().burn, readClock()),
		histograms: Object.fromEntries(MEASURES.flatMap(measure => {
			const histogram = metrics.histograms.get(measure);
			return histogram === undefined ? [] : [[measure, encodeHistogram(histogram)]];
		})),
	});

	return {
		effectHandlers: {},
		rpcMethods: {
			'operator.burnParts'(_parameters, rpcContext) {
				assertOperator(context, rpcContext);
				return readOwn();
			},
			async 'operator.burn'(_parameters, rpcContext): Promise<BurnReply> {
				assertOperator(context, rpcContext);
				const missing: string[] = [];
				const all = [readOwn()];
				const peers = [...readState().membership.peers.values()];
				await Promise.all(peers.map(async ({instanceId, address}) => {
					const reply = await rpc.call(address, 'operator.burnParts', {}, rpcContext.authorization);
					const burn = reply.ok ? partsSchema.safeParse(reply.val).data : undefined;
					if (burn === undefined) {
						missing.push(instanceId);
					} else {
						all.push(burn);
					}
				}));
				const parts: BurnPart[] = all.flatMap(burn => burn.parts);
				return {lines: computeBurnReport(parts), latencies: mergeHistograms(all.map(({histograms}) => histograms)), missing};
			},
		},
	};
}
