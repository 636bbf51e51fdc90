import {ALL_CUSTOMERS, type BurnLine} from '@damaskspool/core';

/** Reply of an entry to the RPC method `operator.burn`. */
export type BurnReply = {
	readonly lines: readonly BurnLine[];
	/** Latency quantiles over the requests of all entries, in milliseconds. */
	readonly latencies: ReadonlyArray<{readonly measure: string; readonly p50: number; readonly p95: number; readonly p99: number; readonly count: number}>;
	/** Entries that did not reply, whose part is not in the report. */
	readonly missing: readonly string[];
};

const PLOT_WIDTH_PX = 360;
const BAR_HEIGHT_PX = 14;
/** Burn at the right edge of the plots, unless a line has a higher burn. At 10, the budget is spent in a tenth of its period. */
const MIN_BURN_SCALE = 10;
const STYLE = [
	'body{font:14px system-ui,sans-serif;margin:2em auto;max-width:70em;color:#222}',
	'table{border-collapse:collapse;width:100%}th,td{padding:.3em .6em;border-bottom:1px solid #ddd;text-align:left}',
	'td.number{text-align:right}tr.service td{font-weight:600;background:#f6f6f6}',
].join('');

/**
 * Formats the burn report as a self-contained HTML page.
 *
 * @param createdAt - creation time of the report, as the page shows it
 */
export function formatBurnPage({lines, latencies, missing}: BurnReply, createdAt: string): string {
	const scale = Math.max(MIN_BURN_SCALE, ...lines.flatMap(({fastBurn, slowBurn}) => [fastBurn, slowBurn]));
	const rows = lines.map(line => formatBurnRow(line, scale));
	const latencyRows = latencies.map(({measure, p50, p95, p99, count}) => formatCells([measure, count, p50, p95, p99]));
	return [
		'<!doctype html><html lang="en"><meta charset="utf-8"><title>Service-level burn</title>',
		`<style>${STYLE}</style>`,
		`<h1>Service-level burn</h1><p>${escapeText(createdAt)}${missing.length > 0 ? `; no reply from ${escapeText(missing.join(', '))}` : ''}</p>`,
		'<p>The dark bar is the fast window (5 minutes), the light one the slow window (1 hour); the line marks a burn of 1, at which the budget lasts exactly as long as its period.</p>',
		'<table><tr><th>service<th>customer<th>level<th>requests<th>bad<th>burn<th>share<th>why</tr>',
		...rows,
		'</table><h2>Latency of all entries, ms</h2><table><tr><th>measure<th>requests<th>p50<th>p95<th>p99</tr>',
		...latencyRows,
		'</table></html>',
		'',
	].join('\n');
}

function formatBurnRow(line: BurnLine, scale: number): string {
	const isService = line.customer === ALL_CUSTOMERS;
	const cells = [
		`<td>${escapeText(line.service)}`,
		`<td>${isService ? 'all' : escapeText(line.customer)}`,
		`<td>${line.level}`,
		`<td class="number">${line.requests}`,
		`<td class="number">${line.bad}`,
		`<td>${formatPlot(line, scale)}`,
		`<td class="number">${Math.round(line.share * 100)}%`,
		`<td>${escapeText(line.why)}`,
	];
	return `<tr${isService ? ' class="service"' : ''}>${cells.join('')}</tr>`;
}

function formatPlot({fastBurn, slowBurn}: BurnLine, scale: number): string {
	const toWidth = (burn: number) => (burn / scale * PLOT_WIDTH_PX).toFixed(1);
	const budgetLineX = toWidth(1);
	return [
		`<svg width="${PLOT_WIDTH_PX + 60}" height="${(BAR_HEIGHT_PX * 2) + 2}" role="img" aria-label="fast ${fastBurn.toFixed(2)}, slow ${slowBurn.toFixed(2)}">`,
		`<rect width="${toWidth(fastBurn)}" height="${BAR_HEIGHT_PX}" fill="#a33"/>`,
		`<rect y="${BAR_HEIGHT_PX + 2}" width="${toWidth(slowBurn)}" height="${BAR_HEIGHT_PX}" fill="#e9a"/>`,
		`<line x1="${budgetLineX}" x2="${budgetLineX}" y1="0" y2="${(BAR_HEIGHT_PX * 2) + 2}" stroke="#222"/>`,
		`<text x="${Number(toWidth(fastBurn)) + 4}" y="${BAR_HEIGHT_PX - 3}" font-size="11">${fastBurn.toFixed(2)}</text>`,
		`<text x="${Number(toWidth(slowBurn)) + 4}" y="${(BAR_HEIGHT_PX * 2) - 1}" font-size="11">${slowBurn.toFixed(2)}</text>`,
		'</svg>',
	].join('');
}

function formatCells(cells: ReadonlyArray<string | number>): string {
	return `<tr>${cells.map(cell => typeof cell === 'number'
		? `<td class="number">${Math.round(cell)}`
		: `<td>${escapeText(cell)}`).join('')}</tr>`;
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
