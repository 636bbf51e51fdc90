/**
 * Runs the compiled tests and ends on a line `N passed, N failed`. A test named
 * in KNOWN-RED.txt may fail: it is printed and not counted as a failure.
 * Arguments narrow the run to files whose path contains one of them.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';

/** Test files at once; each may start a dozen processes of its own. */
const CONCURRENCY = 4;
/** Bound of one test file; it only ends a run that hangs. */
const FILE_LIMIT_MS = 240_000;

const wanted = process.argv.slice(2);
const files = ['packages', 'platform'].flatMap(folder => readdirSync(folder, {recursive: true}).map(file => path.join(folder, file)))
	.filter(file => /^(?:packages[\/\\])?[\w\-]+[\/\\]dist[\/\\].*__tests__.*\.test\.js$/v.test(file))
	.filter(file => wanted.length === 0 || wanted.some(text => file.includes(text)))
	.map(file => path.resolve(file))
	.toSorted();
const knownRed = readKnownRed();

let passed = 0;
let failed = 0;
let excused = 0;
const stream = run({files, concurrency: CONCURRENCY, timeout: FILE_LIMIT_MS});
stream.on('test:pass', ({details, name}) => {
	if (details.type !== 'suite' && !isFileEntry(name)) {
		passed += 1;
	}
});
stream.on('test:fail', ({details, name, file}) => {
	if (details.type === 'suite' || details.error?.failureType === 'subtestsFailed') {
		return;
	}

	if (knownRed.has(name)) {
		excused += 1;
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
stream.on('end', () => {
	if (excused > 0) {
		console.log(`${excused} known to be red, see KNOWN-RED.txt`);
	}

	console.log(`${passed} passed, ${failed} failed`);
	process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
});
stream.resume();

/** Node reports each file that ran as one more entry, named by its path. */
function isFileEntry(name) {
	return files.includes(path.resolve(name));
}

/** Names of tests that may fail: lines `test: NAME` of KNOWN-RED.txt. */
function readKnownRed() {
	const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
}
