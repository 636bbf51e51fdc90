import {type IncomingMessage, type ServerResponse} from 'node:http';
import {toLoadReport, type Work} from '@damaskspool/core';
import {
	createFailure, ERROR_CODES, type Failure, HEADERS, OUTCOMES,
} from '@damaskspool/shared';
import {type SidecarUsagePart} from './createSidecarUsagePart.js';
import {parseWork} from './parseWork.js';
import {runOnTarget} from './runOnTarget.js';
import {type SidecarContext, type SidecarPart} from './sidecarPart.js';

/** What the runtime keeps of work until its answer ended. */
type OpenWork = {
	readonly work: Work;
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly abort: AbortController;
};

/** The part of a sidecar that takes work from entries. */
export type WorkPart = SidecarPart<'work.start' | 'work.refuse' | 'work.cancel'> & {
	/** Takes an attempt of an entry. */
	readonly receive: (incoming: IncomingMessage, response: ServerResponse) => void;
	readonly countOpen: () => number;
};

/**
 * Creates the part of a sidecar that takes work and hands it to the target.
 *
 * @param context - what the sidecar shares among its parts
 * @param usage - the part that meters work
 * @returns the part
 */
export function createWorkPart(context: SidecarContext, usage: Pick<SidecarUsagePart, 'startMetering'>): WorkPart {
	const {settings, metrics, targetDispatcher, dispatch, readState, readClock} = context;
	const open = new Map<string, OpenWork>();
	const readLoadHeader = () => JSON.stringify(toLoadReport(readState().admission, readClock()));

	const startWork = async (attemptId: string) => {
		const found = open.get(attemptId);
		if (found === undefined) {
			return;
		}

		const {meter, end: endMetering} = usage.startMetering(found.work, found.incoming.headers);
		const generatedTokens = await runOnTarget({
			...found,
			meter,
			targetAddress: settings.target,
			dispatcher: targetDispatcher,
			readLoadHeader,
			onAnswered() {
				dispatch({type: 'work.answered', attemptId});
			},
		});
		endMetering();
		open.delete(attemptId);
		metrics.count('work_ended_total');
		metrics.count('generated_tokens_total', generatedTokens);
		dispatch({type: 'work.ended', attemptId, generatedTokens});
	};

	return {
		effectHandlers: {
			'work.start'({attemptId}) {
				void startWork(attemptId);
			},
			'work.refuse'({attemptId, failure}) {
				const found = open.get(attemptId);
				open.delete(attemptId);
				metrics.count(`work_refused_total{code="${failure.code}"}`);
				if (found !== undefined) {
					refuseWork(found.response, found.work.requestId, failure, readLoadHeader());
				}
			},
			'work.cancel'({attemptId}) {
				open.get(attemptId)?.abort.abort();
			},
		},
		countOpen: () => open.size,
		updateGauges() {
			metrics.setGauge('running', readState().admission.running.size);
			metrics.setGauge('waiting', readState().admission.waiting.length);
		},
		receive(incoming, response) {
			const work = parseWork(incoming.headers, readClock());
			if (work === undefined) {
				refuseWork(response, '', createFailure(ERROR_CODES.headerInvalid), readLoadHeader());
				return;
			}

			const {attemptId} = work;
			response.on('error', () => undefined);
			if (open.has(attemptId)) {
				// The first copy may be running, so nothing is proven of the attempt.
				refuseWork(response, work.requestId, createFailure(ERROR_CODES.duplicateCall, {outcome: OUTCOMES.refusedUnknown}), readLoadHeader());
				return;
			}

			const opened: OpenWork = {
				work, incoming, response, abort: new AbortController(),
			};
			open.set(attemptId, opened);
			response.on('close', () => {
				if (open.get(attemptId) !== opened || response.writableFinished) {
					return;
				}

				dispatch({type: 'work.cancelled', attemptId});
				if (!readState().admission.running.has(attemptId)) {
					open.delete(attemptId);
				}
			});
			dispatch({type: 'work.received', work});
		},
	};
}

/** Refuses work; the entry reads the outcome from the answer's headers. */
function refuseWork(response: ServerResponse, requestId: string, failure: Failure, load: string): void {
	response.writeHead(503, {
		'content-type': 'application/json',
		'content-length': 0,
		[HEADERS.requestId]: requestId,
		[HEADERS.outcome]: failure.outcome,
		[HEADERS.errorCode]: failure.code,
		[HEADERS.load]: load,
	});
	response.end();
}
