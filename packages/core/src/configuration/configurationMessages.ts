import {type Configuration, type ConfigurationReply, type ConfigurationUpdate} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type TimedEvent<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** A full configuration was read. It is not split into stored parts. */
export type ConfigurationRead = TimedEvent<'configuration.read', {readonly configuration: Configuration}>;
/** An update came from the store, from a peer or from a change that this entry proposed. */
export type ConfigurationUpdated = TimedEvent<'configuration.updated', {
	readonly update: ConfigurationUpdate;
	readonly source: 'store' | 'peer' | 'proposal';
}>;
/** The store answered with the latest revision. */
export type StoreConfirmed = TimedEvent<'configuration.storeConfirmed', {
	readonly revision: number;
	/** Time since the call was sent. */
	readonly elapsedMs: number;
}>;
/** A call to the store failed or timed out; `elapsedMs` is the time since it was sent. */
export type StoreUnreachable = TimedEvent<'configuration.storeUnreachable', {readonly elapsedMs: number}>;
/** A peer answered a configuration query. */
export type PeerAnswered = TimedEvent<'configuration.peerAnswered', {
	readonly peerId: string;
	readonly answer: ConfigurationReply;
	/** Time since the query was sent. */
	readonly elapsedMs: number;
}>;
/** A peer did not answer a query. `isAbsent` means that its address refuses connections, so no process runs there. */
export type PeerUnreachable = TimedEvent<'configuration.peerUnreachable', {readonly peerId: string; readonly isAbsent: boolean}>;
/** A peer sent a query that carries a later revision than the local one. */
export type PeerAhead = TimedEvent<'configuration.peerAhead', {readonly peerId: string}>;

/** Every event of the configuration. */
export type ConfigurationEvent
	= | ConfigurationRead | ConfigurationUpdated | StoreConfirmed | StoreUnreachable | PeerAnswered | PeerUnreachable | PeerAhead;

/** Queries the latest revision from the store with a watch that waits a short time for a change. */
export type WatchStore = {readonly type: 'configuration.watchStore'};
/** Queries the configuration of a peer. */
export type QueryPeer = {
	readonly type: 'configuration.queryPeer';
	readonly peerId: string;
	readonly address: string;
};
/** Forwards an update to peers. */
export type ForwardUpdate = {
	readonly type: 'configuration.pass';
	readonly addresses: readonly string[];
	readonly update: ConfigurationUpdate;
};

/** Every effect of the configuration. */
export type ConfigurationEffect = WatchStore | QueryPeer | ForwardUpdate;
