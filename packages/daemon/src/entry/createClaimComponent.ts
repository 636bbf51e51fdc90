import {randomUUID} from 'node:crypto';
import {type SegmentReply, type StoredSegment} from '@damaskspool/core';
import {type StoredObject} from '@damaskspool/runtime';
import {
	claimRecordSchema, type ClaimRecord, claimSegmentSchema, type ClaimVerdict, claimVerdictSchema, ERROR_CODES, formatClaimPrefix,
	formatSegmentKey, KIBIBYTE_BYTES, parseSegmentSequence, type StoredResponse,
} from '@damaskspool/shared';
import {z} from 'zod';
import {type EntryContext, type EntryComponent} from './entryComponent.js';

/**
 * Largest body, in base64, of a response that is stored with its claim for replay. The limit keeps a segment of the claim
 * log below the object API's size limit.
 */
const MAX_STORED_ANSWER_BYTES = 20 * KIBIBYTE_BYTES;
/** Delays before each try to report the end of a call to an owner of its claim. */
const SETTLE_RETRY_DELAYS_MS = [0, 300, 1000, 3000] as const;

/** Maximum time for which a stop waits until the ends of calls are recorded. */
const MAX_STOP_WAIT_MS = 2000;

const claimRequestSchema = z.strictObject({record: claimRecordSchema});

/** Options of {@link createClaimComponent}. */
export type ClaimComponentOptions = {
	/** Returns the buffered response of a request that is about to be completed. */
	readonly readBufferedResponse: (requestId: string) => StoredResponse | undefined;
};

type ClaimEffectType
	= | 'claim.readLog' | 'claim.writeSegment' | 'claim.removeSegment' | 'claim.flushLater' | 'claim.reply' | 'claim.ask' | 'claim.settle';

/**
 * Creates the component that claims calls which must not run twice. It also answers claim requests of other
 * entries for the shards that this entry owns.
 */
export function createClaimComponent(context: EntryContext, {readBufferedResponse}: ClaimComponentOptions): EntryComponent<ClaimEffectType> {
	const {objectApi, rpc, dispatch, metrics} = context;
	const resolversByCallId = new Map<string, (verdict: ClaimVerdict) => void>();
	const settlements = new Set<Promise<void>>();
	const timers = new Set<NodeJS.Timeout>();

	const requestLocalVerdict = async (record: ClaimRecord) => new Promise<ClaimVerdict>(resolve => {
		const callId = randomUUID();
		resolversByCallId.set(callId, resolve);
		dispatch({type: 'claim.asked', callId, record});
	});

	const requestOwnerVerdict = async (address: string, record: ClaimRecord): Promise<ClaimVerdict> => {
		if (address === '') {
			return requestLocalVerdict(record);
		}

		const reply = await rpc.call(address, 'claim.ask', {record});
		return (reply.ok ? claimVerdictSchema.safeParse(reply.val).data : undefined) ?? {type: 'unavailable'};
	};

	/** Requests a verdict from one owner after the other. Any owner may decide, because the claim log in the store is authoritative. */
	const requestVerdict = async (owners: readonly string[], record: ClaimRecord): Promise<ClaimVerdict> => {
		for (const address of owners) {
			const verdict = await requestOwnerVerdict(address, record);
			if (verdict.type !== 'unavailable') {
				return verdict;
			}
		}

		return {type: 'unavailable'};
	};

	const settleClaim = async (owners: readonly string[], record: ClaimRecord) => {
		for (const delayMs of SETTLE_RETRY_DELAYS_MS) {
			await waitMs(delayMs);
			const verdict = await requestVerdict(owners, record);
			if (verdict.type !== 'unavailable') {
				return;
			}
		}

		metrics.count('claims_unsettled_total');
	};

	const readLog = async (shard: number) => {
		const listed = await objectApi.list(formatClaimPrefix(shard));
		const parsed = listed.ok ? listed.val.map(object => parseSegment(object)) : [undefined];
		const segments = parsed.filter(segment => segment !== undefined).toSorted((left, right) => left.sequence - right.sequence);
		// A log with an unreadable segment must not be mistaken for a shorter log, so it is reported as unread.
		dispatch({type: 'claim.logRead', shard, segments: segments.length === parsed.length ? segments : undefined});
	};

	const writeSegment = async (key: string, segment: z.infer<typeof claimSegmentSchema>): Promise<SegmentReply> => {
		const written = await objectApi.write(key, segment, 0);
		if (written.ok) {
			return {type: 'written', version: written.val};
		}

		if (written.val.code !== ERROR_CODES.versionConflict) {
			return {type: 'unavailable'};
		}

		const read = await objectApi.read(key);
		const stored = read.ok && read.val !== undefined ? parseSegment(read.val) : undefined;
		if (stored === undefined) {
			return {type: 'unavailable'};
		}

		// An equal nonce means that the reply to an earlier try of this write was lost.
		return stored.segment.nonce === segment.nonce ? {type: 'written', version: stored.version} : {type: 'conflict', found: stored};
	};

	return {
		effectHandlers: {
			'claim.readLog'({shard}) {
				void readLog(shard);
			},
			'claim.writeSegment'({shard, sequence, segment}) {
				metrics.count('claims_written_total', segment.records.length);
				void (async () => {
					const reply = await writeSegment(formatSegmentKey(shard, sequence), segment);
					dispatch({
						type: 'claim.segmentReplied', shard, sequence, reply,
					});
				})();
			},
			'claim.removeSegment'({shard, sequence, version}) {
				void objectApi.remove(formatSegmentKey(shard, sequence), version);
			},
			'claim.flushLater'({shard, delayMs}) {
				const timer = setTimeout(() => {
					timers.delete(timer);
					dispatch({type: 'claim.flushDue', shard});
				}, delayMs);
				timers.add(timer);
			},
			'claim.reply'({callId, verdict}) {
				resolversByCallId.get(callId)?.(verdict);
				resolversByCallId.delete(callId);
			},
			'claim.ask'({requestId, record, owners}) {
				void (async () => {
					const verdict = await requestVerdict(owners, record);
					dispatch({
						type: 'claim.decided', requestId, record, verdict,
					});
				})();
			},
			'claim.settle'({record, owners}) {
				const answer = record.status === 'finished' ? readBufferedResponse(record.requestId) : undefined;
				const isStored = answer !== undefined && answer.body.length <= MAX_STORED_ANSWER_BYTES;
				const settlement = settleClaim(owners, {...record, ...(isStored && {answer})});
				settlements.add(settlement);
				void settlement.then(() => settlements.delete(settlement));
			},
		},
		rpcMethods: {
			async 'claim.ask'(parameters) {
				return requestLocalVerdict(claimRequestSchema.parse(parameters).record);
			},
		},
		async stop() {
			await Promise.race([Promise.all(settlements), waitMs(MAX_STOP_WAIT_MS)]);
			for (const timer of timers) {
				clearTimeout(timer);
			}
		},
	};
}

async function waitMs(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs).unref();
	});
}

function parseSegment({key, version, value}: StoredObject): StoredSegment | undefined {
	const segment = claimSegmentSchema.safeParse(value).data;
	return segment && {sequence: parseSegmentSequence(key), version, segment};
}
