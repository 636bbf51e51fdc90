import {type UsageCall, type UsageReply} from '@damaskspool/core';
import {type ObjectApiClient, type RpcClient} from '@damaskspool/runtime';
import {ERROR_CODES, type Failure, type Result} from '@damaskspool/shared';

/** RPC method with which an entry settles usage with a sidecar. */
export const USAGE_SETTLE_METHOD = 'usage.settle';

/** Clients and clock that {@link runUsageCall} uses. */
export type UsageCallContext = {
	readonly objectApi: ObjectApiClient;
	/** Undefined at a sidecar, which makes no RPC calls. */
	readonly rpc?: RpcClient;
	readonly readClock: () => number;
};

type CallHandlers = {
	readonly [Kind in UsageCall['kind']]: (call: Extract<UsageCall, {kind: Kind}>, context: UsageCallContext) => Promise<UsageReply>;
};

const CALL_HANDLERS: CallHandlers = {
	async read({key}, {objectApi}) {
		const read = await objectApi.read(key);
		if (read.err) {
			return {status: 'failed'};
		}

		return read.val === undefined ? {status: 'absent'} : {status: 'ok', version: read.val.version, value: read.val.value};
	},
	async list({prefix}, {objectApi}) {
		const listed = await objectApi.list(prefix);
		return listed.err ? {status: 'failed'} : {status: 'ok', objects: listed.val};
	},
	write: async ({key, value, version}, {objectApi}) => toReply(await objectApi.write(key, value, version)),
	remove: async ({key, version}, {objectApi}) => toReply(await objectApi.remove(key, version)),
	async settle({address, settlement}, {rpc}) {
		const settled = await rpc?.call(address, USAGE_SETTLE_METHOD, settlement);
		return settled?.ok ? {status: 'ok', value: settled.val} : {status: 'failed'};
	},
	async report({body, deadlineMs, authorityEndsAtMs}, {objectApi, readClock}) {
		const reported = await objectApi.call('POST', '/usage', body, {
			timeoutMs: deadlineMs,
			isAllowed: () => readClock() < authorityEndsAtMs,
		});
		return reported.ok ? {status: 'ok'} : {status: 'failed'};
	},
};

/** Runs one usage call. Never rejects: a failure is returned as a reply with status `failed` or `conflict`. */
export async function runUsageCall(call: UsageCall, context: UsageCallContext): Promise<UsageReply> {
	const handleCall = CALL_HANDLERS[call.kind] as (call: UsageCall, context: UsageCallContext) => Promise<UsageReply>;
	return handleCall(call, context);
}

function toReply(result: Result<number, Failure>): UsageReply {
	if (result.ok) {
		return {status: 'ok', version: result.val};
	}

	return {status: result.val.code === ERROR_CODES.versionConflict ? 'conflict' : 'failed'};
}
