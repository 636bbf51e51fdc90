/**
 * Runs the compiled tests. The last line of output is `N passed, N failed`. A
 * failing test that is listed in KNOWN-RED.txt is printed but not counted as a
 * failure. Arguments restrict the run to files whose path contains one of them.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';

/** Test files that run concurrently; each may start a dozen processes. */
const CONCURRENCY = 4;
/** Test files that run one at a time after the others: they bring a process to the end of its memory. */
const ALONE = /\.alone\.test\.js$/v;
/** Time limit of one test file; only ends a run that hangs. */
const FILE_LIMIT_MS = 240_000;

const pathFilters = process.argv.slice(2);
const files = ['packages', 'platform'].flatMap(folder => readdirSync(folder, {recursive: true}).map(file => path.join(folder, file)))
	.filter(file => /^(?:packages[\/\\])?[\w\-]+[\/\\]dist[\/\\].*__tests__.*\.test\.js$/v.test(file))
	.filter(file => pathFilters.length === 0 || pathFilters.some(text => file.includes(text)))
	.map(file => path.resolve(file))
	.toSorted();
const knownRedTests = readKnownRed();

let passed = 0;
let failed = 0;
let knownFailures = 0;
await runFiles(files.filter(file => !ALONE.test(file)), CONCURRENCY);
await runFiles(files.filter(file => ALONE.test(file)), 1);
if (knownFailures > 0) {
	console.log(`${knownFailures} known to be red, see KNOWN-RED.txt`);
}

console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;

/** Runs test files, and adds their results to the counts. */
async function runFiles(runnable, concurrency) {
	if (runnable.length === 0) {
		return;
	}

	const stream = run({files: runnable, concurrency, timeout: FILE_LIMIT_MS});
	stream.on('test:pass', ({details, name}) => {
		if (details.type !== 'suite' && !isFileEntry(name)) {
			passed += 1;
		}
	});
	stream.on('test:fail', ({details, name, file}) => {
		if (details.type === 'suite' || details.error?.failureType === 'subtestsFailed') {
			return;
		}

		if (knownRedTests.has(name)) {
			knownFailures += 1;
			console.log(`known red: ${name}`);
			return;
		}

		failed += 1;
		console.log(`FAILED ${name} (${path.relative('.', file ?? '')})`);
		console.log(details.error?.cause?.stack ?? details.error);
	});
	stream.on('test:stderr', ({message}) => {
		process.stderr.write(message);
	});
	await new Promise(resolve => {
		stream.on('end', resolve);
		stream.resume();
	});
}

/** Checks whether a result is that of a file: Node.js also reports each test file as a test, named by its path. */
function isFileEntry(name) {
	return files.includes(path.resolve(name));
}

/** Reads the names of tests that may fail, from the lines `test: NAME` of KNOWN-RED.txt. */
function readKnownRed() {
	const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
}
