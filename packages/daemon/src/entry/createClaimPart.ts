import {randomUUID} from 'node:crypto';
import {type SegmentReply, type StoredSegment} from '@damaskspool/core';
import {type StoredObject} from '@damaskspool/runtime';
import {
	claimRecordSchema, type ClaimRecord, claimSegmentSchema, type ClaimVerdict, claimVerdictSchema, ERROR_CODES, formatClaimPrefix,
	formatSegmentKey, KIBIBYTE_BYTES, parseSegmentSequence, type StoredResponse,
} from '@damaskspool/shared';
import {z} from 'zod';
import {type EntryContext, type EntryPart} from './entryPart.js';

/** Largest answer, in base64, that is kept to be given again; segments of the log stay under the object API's limit. */
const KEPT_ANSWER_BYTES = 20 * KIBIBYTE_BYTES;
/** Waits between tries to tell an owner of a call's end. */
const SETTLE_RETRY_MS = [0, 300, 1000, 3000] as const;

/** Longest wait of a stop for calls whose end is being recorded. */
const STOP_LIMIT_MS = 2000;

const askSchema = z.strictObject({record: claimRecordSchema});

/** Options of {@link createClaimPart}. */
export type ClaimPartOptions = {
	/** The whole answer of a request that is about to be completed. */
	readonly readAnswer: (requestId: string) => StoredResponse | undefined;
};

type ClaimEffectType
	= | 'claim.readLog' | 'claim.writeSegment' | 'claim.removeSegment' | 'claim.flushLater' | 'claim.reply' | 'claim.ask' | 'claim.settle';

/**
 * Creates the part of an entry that claims calls that may not be repeated, and
 * that owns claims for other entries.
 *
 * @param context - what the entry shares among its parts
 * @param options - where answers are read
 * @returns the part
 */
export function createClaimPart(context: EntryContext, {readAnswer}: ClaimPartOptions): EntryPart<ClaimEffectType> {
	const {objectApi, rpc, dispatch, metrics} = context;
	const waiting = new Map<string, (verdict: ClaimVerdict) => void>();
	const settling = new Set<Promise<void>>();
	const timers = new Set<NodeJS.Timeout>();

	const askOwnShard = async (record: ClaimRecord) => new Promise<ClaimVerdict>(resolve => {
		const callId = randomUUID();
		waiting.set(callId, resolve);
		dispatch({type: 'claim.asked', callId, record});
	});

	const askOwner = async (address: string, record: ClaimRecord): Promise<ClaimVerdict> => {
		if (address === '') {
			return askOwnShard(record);
		}

		const reply = await rpc.call(address, 'claim.ask', {record});
		return (reply.ok ? claimVerdictSchema.safeParse(reply.val).data : undefined) ?? {type: 'unavailable'};
	};

	/** Asks one owner after the other: any of them is right, as the log decides. */
	const askOwners = async (owners: readonly string[], record: ClaimRecord): Promise<ClaimVerdict> => {
		for (const address of owners) {
			const verdict = await askOwner(address, record);
			if (verdict.type !== 'unavailable') {
				return verdict;
			}
		}

		return {type: 'unavailable'};
	};

	const settle = async (owners: readonly string[], record: ClaimRecord) => {
		for (const delayMs of SETTLE_RETRY_MS) {
			await waitMs(delayMs);
			const verdict = await askOwners(owners, record);
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
		// A log that cannot be read whole must not be taken for a shorter one.
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
		const found = read.ok && read.val !== undefined ? parseSegment(read.val) : undefined;
		if (found === undefined) {
			return {type: 'unavailable'};
		}

		// The reply to this very write was lost before.
		return found.segment.nonce === segment.nonce ? {type: 'written', version: found.version} : {type: 'conflict', found};
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
				waiting.get(callId)?.(verdict);
				waiting.delete(callId);
			},
			'claim.ask'({requestId, record, owners}) {
				void (async () => {
					const verdict = await askOwners(owners, record);
					dispatch({
						type: 'claim.decided', requestId, record, verdict,
					});
				})();
			},
			'claim.settle'({record, owners}) {
				const answer = record.status === 'finished' ? readAnswer(record.requestId) : undefined;
				const isKept = answer !== undefined && answer.body.length <= KEPT_ANSWER_BYTES;
				const settled = settle(owners, {...record, ...(isKept && {answer})});
				settling.add(settled);
				void settled.then(() => settling.delete(settled));
			},
		},
		rpcMethods: {
			async 'claim.ask'(parameters) {
				return askOwnShard(askSchema.parse(parameters).record);
			},
		},
		async stop() {
			await Promise.race([Promise.all(settling), waitMs(STOP_LIMIT_MS)]);
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
