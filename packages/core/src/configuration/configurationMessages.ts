import {type Configuration, type ConfigurationReply, type ConfigurationUpdate} from '@damaskspool/shared';
import {type BaseEvent} from '../reducer/createReducer.js';

type Timed<Type extends string, Fields> = BaseEvent & {readonly type: Type} & Fields;

/** A whole configuration, without its stored parts. */
export type ConfigurationRead = Timed<'configuration.read', {readonly configuration: Configuration}>;
/** A later revision came from the store, from a peer, or by a change that this entry proposed. */
export type ConfigurationUpdated = Timed<'configuration.updated', {
	readonly update: ConfigurationUpdate;
	readonly source: 'store' | 'peer' | 'proposal';
}>;
/** The store said which revision is the latest. */
export type StoreConfirmed = Timed<'configuration.storeConfirmed', {
	readonly revision: number;
	/** Since the call was sent. */
	readonly elapsedMs: number;
}>;
/** The store did not answer in time. */
export type StoreSilent = Timed<'configuration.storeSilent', {readonly elapsedMs: number}>;
/** A peer answered what it knows. */
export type PeerAnswered = Timed<'configuration.peerAnswered', {
	readonly peerId: string;
	readonly answer: ConfigurationReply;
	/** Since the question was sent. */
	readonly elapsedMs: number;
}>;
/** A peer did not answer; absent where its address refuses connections, so that no process is there. */
export type PeerSilent = Timed<'configuration.peerSilent', {readonly peerId: string; readonly isAbsent: boolean}>;
/** A peer that asked has a later revision. */
export type PeerAhead = Timed<'configuration.peerAhead', {readonly peerId: string}>;

/** Events by which an entry's configuration is kept. */
export type ConfigurationEvent
	= | ConfigurationRead | ConfigurationUpdated | StoreConfirmed | StoreSilent | PeerAnswered | PeerSilent | PeerAhead;

/** Asks the store for the latest revision, waiting a moment for a change. */
export type WatchStore = {readonly type: 'configuration.watchStore'};
/** Asks a peer what it knows. */
export type AskPeer = {
	readonly type: 'configuration.askPeer';
	readonly peerId: string;
	readonly address: string;
};
/** Passes a new revision on. */
export type PassUpdate = {
	readonly type: 'configuration.pass';
	readonly addresses: readonly string[];
	readonly update: ConfigurationUpdate;
};

/** Effects by which an entry's configuration is kept. */
export type ConfigurationEffect = WatchStore | AskPeer | PassUpdate;
