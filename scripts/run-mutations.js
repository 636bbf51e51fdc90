/**
 * Mutation test runner: removes guards from the compiled code, one at a time, and
 * runs the test that must fail without the guard. `npm run mutate -- NAME` reads
 * mutations/NAME.json, a list of `{promise, file, find, replace, test}`. The last
 * line of output is `N passed, N failed`; a mutation that its test does not detect
 * counts as failed.
 */
import {spawnSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';

/** Time limit of one test file; a mutant that hangs counts as detected. */
const TEST_LIMIT_MS = 120_000;

const [name] = process.argv.slice(2);
const mutations = JSON.parse(readFileSync(`mutations/${name}.json`, 'utf8'));
const passingTests = new Set();
let passed = 0;
let failed = 0;
for (const mutation of mutations) {
	const verdict = runMutation(mutation);
	if (verdict === 'noticed') {
		passed += 1;
	} else {
		failed += 1;
	}

	console.log(`${verdict}: ${mutation.promise} (${mutation.file}: ${mutation.find})`);
}

console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;

function runMutation({file, find, replace, test}) {
	const source = readFileSync(file, 'utf8');
	if (source.split(find).length !== 2) {
		return 'the text is not there exactly once';
	}

	if (!passingTests.has(test)) {
		if (!isTestPassing(test)) {
			return 'the test fails without the mutation';
		}

		passingTests.add(test);
	}

	try {
		writeFileSync(file, source.replace(find, () => replace));
		return isTestPassing(test) ? 'NOT NOTICED' : 'noticed';
	} finally {
		writeFileSync(file, source);
	}
}

function isTestPassing(test) {
	const {status} = spawnSync(process.execPath, ['--test', test], {stdio: 'ignore', timeout: TEST_LIMIT_MS});
	return status === 0;
}
