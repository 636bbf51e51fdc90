import {type IncomingMessage, type ServerResponse} from 'node:http';
import {toLoadReport, type Work} from '@damaskspool/core';
import {
	createFailure, ERROR_CODES, type Failure, HEADERS, OUTCOMES,
} from '@damaskspool/shared';
import {type SidecarUsageComponent} from './createSidecarUsageComponent.js';
import {parseWork} from './parseWork.js';
import {runOnTarget} from './runOnTarget.js';
import {type SidecarContext, type SidecarComponent} from './sidecarComponent.js';

/** Work whose response has not ended yet. */
type OpenWork = {
	readonly work: Work;
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly abortController: AbortController;
};

/** Component of a sidecar that accepts work from entries. */
export type WorkComponent = SidecarComponent<'work.start' | 'work.refuse' | 'work.cancel'> & {
	/** Parses an entry's attempt and dispatches it, or refuses it. */
	readonly receive: (incoming: IncomingMessage, response: ServerResponse) => void;
	readonly countOpenWork: () => number;
};

/** Creates the component that accepts work from entries and forwards it to the target. */
export function createWorkComponent(context: SidecarContext, usageComponent: Pick<SidecarUsageComponent, 'startMetering'>): WorkComponent {
	const {settings, metrics, targetDispatcher, dispatch, readState, readClock} = context;
	const openWork = new Map<string, OpenWork>();
	const readLoadHeader = () => JSON.stringify(toLoadReport(readState().admission, readClock()));

	const startWork = async (attemptId: string) => {
		const openedWork = openWork.get(attemptId);
		if (openedWork === undefined) {
			return;
		}

		const {meter, end: endMetering} = usageComponent.startMetering(openedWork.work, openedWork.incoming.headers);
		const generatedTokens = await runOnTarget({
			...openedWork,
			meter,
			targetAddress: settings.target,
			dispatcher: targetDispatcher,
			readLoadHeader,
			onAnswered() {
				dispatch({type: 'work.answered', attemptId});
			},
		});
		endMetering();
		openWork.delete(attemptId);
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
				const openedWork = openWork.get(attemptId);
				openWork.delete(attemptId);
				metrics.count(`work_refused_total{code="${failure.code}"}`);
				if (openedWork !== undefined) {
					refuseWork(openedWork.response, openedWork.work.requestId, failure, readLoadHeader());
				}
			},
			'work.cancel'({attemptId}) {
				openWork.get(attemptId)?.abortController.abort();
			},
		},
		countOpenWork: () => openWork.size,
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
			if (openWork.has(attemptId)) {
				// The first copy may be running, so the outcome of the attempt is unknown.
				refuseWork(response, work.requestId, createFailure(ERROR_CODES.duplicateCall, {outcome: OUTCOMES.refusedUnknown}), readLoadHeader());
				return;
			}

			const openedWork: OpenWork = {
				work, incoming, response, abortController: new AbortController(),
			};
			openWork.set(attemptId, openedWork);
			response.on('close', () => {
				if (openWork.get(attemptId) !== openedWork || response.writableFinished) {
					return;
				}

				dispatch({type: 'work.cancelled', attemptId});
				if (!readState().admission.running.has(attemptId)) {
					openWork.delete(attemptId);
				}
			});
			dispatch({type: 'work.received', work});
		},
	};
}

/** Refuses work. The entry reads the outcome from the response headers. */
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
