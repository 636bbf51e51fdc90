import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type CallerRequest} from '@damaskspool/runtime';

/** Sockets and bytes of a call under way; decisions know it by its number only. */
export type CallHandle = {
	readonly callId: number;
	readonly request: CallerRequest;
	readonly body: Buffer;
	readonly response: ServerResponse;
	/** Last event that was passed on whole. */
	lastEventId: string | undefined;
	/** Ends the attempt under way. */
	cancelAttempt: (() => void) | undefined;
	/** Answer of a target that failed, until it is decided whether to pass it on. */
	bufferedResponse: BufferedResponse | undefined;
};

/** A failure of a target, whole. */
export type BufferedResponse = {
	readonly attemptId: number;
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: Buffer;
	/** The target proved by its signature that the answer is its own. */
	readonly isSigned: boolean;
};
