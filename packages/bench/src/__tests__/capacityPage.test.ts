import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {describe, it} from 'node:test';
import {updatePage} from '../capacity-page/updatePage.js';
import {CAPACITY_FILE, type CapacityFigures} from '../experiments/capacity.js';

describe('the capacity page', () => {
	it('matches the stored measurements', async () => {
		const page = await readFile('docs/CAPACITY.md', 'utf8');
		const figures = JSON.parse(await readFile(CAPACITY_FILE, 'utf8')) as CapacityFigures;
		assert.equal(updatePage(page, figures), page, 'run npm run capacity-page');
	});

	it('is computed from fitted lines with at least four points each', async () => {
		const {lines} = JSON.parse(await readFile(CAPACITY_FILE, 'utf8')) as CapacityFigures;
		for (const line of lines) {
			assert.ok(line.points.length >= 4, `${line.driver}.${line.quantity}`);
		}
	});
});
