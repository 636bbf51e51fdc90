import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type SentForm} from '@damaskspool/core';
import {type CallerRequest} from '@damaskspool/runtime';
import {type HeldCall} from './createMemoryLedger.js';

/** Request, response and attempt of a call in progress. The reducer refers to it by `callId` only. */
export type CallHandle = {
	readonly callId: number;
	readonly request: CallerRequest;
	/** Empty once no target needs it any more. */
	body: Buffer;
	readonly response: ServerResponse;
	/** Bytes held for the call. */
	readonly held: HeldCall;
	/** What the caller has received, from any attempt. */
	sentForm: SentForm;
	/** Identifier of the last complete event that the caller has. */
	lastEventId: string | undefined;
	/** Cancels the attempt in progress. */
	cancelAttempt: (() => void) | undefined;
	/** Failure response of a target, buffered until the reducer decides whether to forward it. */
	bufferedResponse: BufferedResponse | undefined;
};

/** A complete failure response of a target. */
export type BufferedResponse = {
	readonly attemptId: number;
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: Buffer;
	/** Whether the response bears the target's signature and its status does not promise that the request did not run. */
	readonly isSigned: boolean;
};
