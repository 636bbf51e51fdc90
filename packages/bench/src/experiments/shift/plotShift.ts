import {type ShiftResult} from './runChildren.js';

const WIDTH = 720;
const PANEL_HEIGHT = 120;
const MARGIN = 40;
const COLOURS = ['#1b6ca8', '#2e8b57', '#c0392b', '#8e44ad', '#d68910', '#555555', '#17a589', '#a04000', '#7d6608', '#000000'];

type Series = {readonly name: string; readonly values: readonly number[]};

/**
 * Draws the runs of the first seed as an SVG with three panels over time: the share of requests within both latency
 * objectives, the requests sent, and the number of targets whose role is not mixed.
 *
 * @param results - runs of one deployment
 * @returns SVG source
 */
export function plotShift(results: readonly ShiftResult[]): string {
	const firstSeed = results.filter(result => result.seed === results[0]?.seed);
	const shares = firstSeed.map(({policy, summary}) => ({
		name: policy,
		values: summary.goodBySecond.map((good, second) => good / Math.max(1, summary.sentBySecond[second]!)),
	}));
	const sent = [{name: 'requests a second', values: firstSeed[0]?.summary.sentBySecond ?? []}];
	const roles = firstSeed
		.filter(({summary}) => summary.roleChangesPerTarget > 0)
		.map(({policy, summary}) => ({
			name: `${policy}: targets not mixed`,
			values: summary.roles.map(sample => sample.roles.filter(role => role !== 'mixed').length),
		}));
	const panels = [
		drawPanel('part within both goals', shares, 0),
		drawPanel('load', sent, 1),
		drawPanel('roles', roles, 2),
	];
	const height = panels.length * (PANEL_HEIGHT + (2 * MARGIN));
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH + 220}" height="${height}" font-family="sans-serif" font-size="11">\n${panels.join('\n')}\n</svg>\n`;
}

function drawPanel(title: string, seriesList: readonly Series[], panelIndex: number): string {
	const top = MARGIN + (panelIndex * (PANEL_HEIGHT + (2 * MARGIN)));
	const maxValue = Math.max(1, ...seriesList.flatMap(series => series.values));
	const polylines = seriesList.map(({name, values}, index) => {
		const colour = COLOURS[index % COLOURS.length]!;
		const points = values.map((value, valueIndex) => {
			const x = MARGIN + (valueIndex * (WIDTH - MARGIN) / Math.max(1, values.length - 1));
			const y = top + PANEL_HEIGHT - (value / maxValue * PANEL_HEIGHT);
			return `${x.toFixed(1)},${y.toFixed(1)}`;
		});
		return `<polyline fill="none" stroke="${colour}" points="${points.join(' ')}"/><text x="${WIDTH + 10}" y="${top + (index * 14)}" fill="${colour}">${name}</text>`;
	});
	return [
		`<text x="${MARGIN}" y="${top - 8}">${title} (highest ${maxValue.toFixed(2)})</text>`,
		`<rect x="${MARGIN}" y="${top}" width="${WIDTH - MARGIN}" height="${PANEL_HEIGHT}" fill="none" stroke="#ccc"/>`,
		...polylines,
	].join('\n');
}
