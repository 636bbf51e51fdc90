/** Program of `npm run capacity-page`: computes the tables of docs/CAPACITY.md from docs/capacity.json. */
import {readFile, writeFile} from 'node:fs/promises';
import {updatePage} from './capacity-page/updatePage.js';
import {CAPACITY_FILE, type CapacityFigures} from './experiments/capacity.js';

const PAGE_FILE = 'docs/CAPACITY.md';
const figures = JSON.parse(await readFile(CAPACITY_FILE, 'utf8')) as CapacityFigures;
await writeFile(PAGE_FILE, updatePage(await readFile(PAGE_FILE, 'utf8'), figures));
