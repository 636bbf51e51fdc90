import {takeEvenness, updateEvenness} from '../placement/loadEvenness.js';
import {type HandlerTable} from '../reducer/createReducer.js';
import {type ServingEffect, type ServingEvent} from './servingMessages.js';
import {type ServingState} from './servingState.js';

/** Handlers that tell operators how even the load of targets is. */
export const evennessHandlers: HandlerTable<ServingState, ServingEvent, ServingEffect> = {
	tick({evenness, placement}, {nowMs}) {
		updateEvenness(evenness, placement, nowMs);
		return takeEvenness(evenness, nowMs).map(({kind, peakToMean, fullWhileIdle, choices, unevenChoices}) => ({
			type: 'decision.record',
			name: 'load.evenness',
			subject: kind,
			detail: {
				choices, unevenChoices, peakToMean: roundFigure(peakToMean), fullWhileIdle: roundFigure(fullWhileIdle),
			},
		}));
	},
};

function roundFigure(figure: number | undefined): number | undefined {
	return figure === undefined ? undefined : Number(figure.toFixed(3));
}
