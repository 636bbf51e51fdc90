import {randomUUID} from 'node:crypto';
import {
	listStateRows, mayDrain, mergeQueryRows, planCommand, QUERY_SOURCES, type QuerySourceName, runQuery,
} from '@damaskspool/core';
import {
	type CommandStatement, commandStatementSchema, type ConfigurationDocument, type QueryReply, type QueryRow, queryStatementSchema, createListSchema, createRecordSchema,
} from '@damaskspool/shared';
import {z} from 'zod';
import {assertOperator} from './assertOperator.js';
import {type DecisionComponent} from './createDecisionComponent.js';
import {type EntryContext, type EntryComponent} from './entryComponent.js';
import {readUsageRows, type SealedUsageRow} from './readUsageRows.js';

const HOUR_MS = 3_600_000;

const sourceSchema = z.enum(Object.keys(QUERY_SOURCES) as [QuerySourceName, ...QuerySourceName[]]);
const queryParametersSchema = z.strictObject({query: queryStatementSchema});
const rowsParametersSchema = z.strictObject({source: sourceSchema});
const changeParametersSchema = z.strictObject({
	command: commandStatementSchema,
	isDryRun: z.boolean(),
	/** Identifies the change. Every retry of a change carries the same id, so that the change is accepted only once. */
	changeId: z.string().max(40).default(() => randomUUID()),
});
const drainParametersSchema = z.strictObject({targetId: z.string()});
const drainReplySchema = z.object({isOrdered: z.boolean()});
const rowsSchema = createListSchema(createRecordSchema(z.string(), z.union([z.string(), z.number(), z.boolean()])));

/** Reply to `operator.change`. */
export type ChangeReply = {
	/** Lines that show what the command changes. */
	readonly preview: readonly string[];
	/** Revision under which the change was accepted; undefined for a dry run and for the drain of a target. */
	readonly revision: number | undefined;
};

/** Creates the component that answers operators' queries and commands. */
export function createOperatorComponent(context: EntryContext, decisions: Pick<DecisionComponent, 'listRows' | 'record'>): EntryComponent {
	const {readState, readClock, rpc, proposeChange, dispatch, settings} = context;

	const listLocalRows = (source: QuerySourceName): QueryRow[] =>
		source === 'events' ? decisions.listRows() : listStateRows(readState(), source, readClock());

	const callPeers = async (method: string, parameters: unknown, authorization: string | undefined) => {
		const peers = [...readState().membership.peers.values()];
		return Promise.all(peers.map(async ({instanceId, address}) => ({
			instanceId, reply: await rpc.call(address, method, parameters, authorization),
		})));
	};

	const readStoredRows = async (source: QuerySourceName): Promise<QueryRow[]> => {
		const rows = await readUsageRows(context);
		if (rows === undefined) {
			throw new Error('the object API of the platform does not answer; the requested rows are stored there');
		}

		return source === 'usage' ? rows.map(row => toUsageQueryRow(row)) : toCostRows(rows, settings.targetPricePerHour);
	};

	const listAllRows = async (source: QuerySourceName, authorization: string | undefined): Promise<QueryReply> => {
		const {scope} = QUERY_SOURCES[source];
		if (scope === 'store') {
			return {rows: await readStoredRows(source), missing: []};
		}

		const localRows = listLocalRows(source);
		if (scope === 'oneEntry') {
			return {rows: localRows, missing: []};
		}

		const missing: string[] = [];
		const rowsByEntry: QueryRow[][] = [localRows];
		for (const {instanceId, reply} of await callPeers('operator.rows', {source}, authorization)) {
			const rows = reply.ok ? rowsSchema.safeParse(reply.val).data : undefined;
			if (rows === undefined) {
				missing.push(instanceId);
			} else {
				rowsByEntry.push(rows);
			}
		}

		return {rows: mergeQueryRows(source, rowsByEntry), missing};
	};

	const drainTarget = async (targetId: string, authorization: string | undefined): Promise<ChangeReply> => {
		if (!readState().membership.targets.has(targetId)) {
			throw new Error(`target "${targetId}" does not exist`);
		}

		const mayDrainHere = mayDrain(readState(), targetId, readClock());
		if (mayDrainHere) {
			dispatch({type: 'target.drainRequested', targetId});
		}

		const peerReplies = mayDrainHere ? [] : await callPeers('operator.drainTarget', {targetId}, authorization);
		if (!mayDrainHere && !peerReplies.some(({reply}) => reply.ok && drainReplySchema.safeParse(reply.val).data?.isOrdered)) {
			throw new Error('no entry currently holds the fleet duty of the target\'s availability zone; the target was not drained');
		}

		return {preview: [`- target ${targetId} takes new work`], revision: undefined};
	};

	return {
		effectHandlers: {},
		rpcMethods: {
			async 'operator.query'(parameters, rpcContext) {
				assertOperator(context, rpcContext);
				const {query} = queryParametersSchema.parse(parameters);
				const {rows, missing} = await listAllRows(sourceSchema.parse(query.source), rpcContext.authorization);
				return {rows: runQuery(rows, query), missing};
			},
			'operator.rows'(parameters, rpcContext) {
				assertOperator(context, rpcContext);
				return listLocalRows(rowsParametersSchema.parse(parameters).source);
			},
			'operator.drainTarget'(parameters, rpcContext) {
				assertOperator(context, rpcContext);
				const {targetId} = drainParametersSchema.parse(parameters);
				const isOrdered = mayDrain(readState(), targetId, readClock());
				if (isOrdered) {
					dispatch({type: 'target.drainRequested', targetId});
				}

				return {isOrdered};
			},
			async 'operator.change'(parameters, rpcContext): Promise<ChangeReply> {
				const operatorId = assertOperator(context, rpcContext);
				const {command, isDryRun, changeId} = changeParametersSchema.parse(parameters);
				if (command.thing === 'target') {
					return isDryRun
						? {preview: [`- target ${command.name} takes new work`], revision: undefined}
						: drainTarget(command.name, rpcContext.authorization);
				}

				const plan = planCommand(readDocument(context), command);
				if (plan.err) {
					throw new Error(plan.val.message);
				}

				const {edits, preview} = plan.val;
				if (isDryRun) {
					return {preview, revision: undefined};
				}

				const accepted = await proposeChange({changeId: `${operatorId.slice(0, 20)}:${changeId}`, edits: [...edits]});
				if (accepted.err) {
					throw new Error(accepted.val.message);
				}

				const {revision} = accepted.val;
				decisions.record('operator.changed', command.name, {
					operatorId, revision, command: formatCommand(command),
				});
				return {preview, revision};
			},
		},
	};
}

function formatCommand({verb, thing, owner}: CommandStatement): string {
	return [verb, thing, ...(owner === undefined ? [] : ['of', owner])].join(' ');
}

function readDocument({readState}: EntryContext): ConfigurationDocument {
	const {services, customers} = readState().configuration;
	return {services: [...services.values()], customers: [...customers.values()]};
}

function toUsageQueryRow({customerId, serviceId, window, servedIn, ...counts}: SealedUsageRow): QueryRow {
	return {
		window: new Date(window).toISOString(), servedIn: new Date(servedIn).toISOString(), customer: customerId, service: serviceId, ...counts,
	};
}

/** Returns the cost of the target time that each customer used for each service. */
function toCostRows(rows: readonly SealedUsageRow[], pricePerHour: number): QueryRow[] {
	const rowsByKey = new Map<string, QueryRow>();
	for (const {customerId, serviceId, targetMs} of rows) {
		const key = `${customerId} ${serviceId}`;
		const targetHours = Number(rowsByKey.get(key)?.targetHours ?? 0) + (targetMs / HOUR_MS);
		rowsByKey.set(key, {
			customer: customerId, service: serviceId, targetHours, cost: targetHours * pricePerHour,
		});
	}

	return [...rowsByKey.values()];
}
