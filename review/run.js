/** Frame of a case: record, end of all processes, exit code. */
import {createWriteStream} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const LIMIT_MS = 115_000;

/** Whether the case is played with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * Plays a case and ends the process: with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 *
 * @param {string} caseUrl - `import.meta.url` of the case; `record.txt` is written beside it
 * @param {(context: {record: (line: string) => void, onEnd: (close: () => unknown) => void}) => Promise<{isBroken: boolean, summary: string}>} play
 */
export async function runCase(caseUrl, play) {
	const startedAt = performance.now();
	const file = createWriteStream(fileURLToPath(new URL('record.txt', caseUrl)));
	const closers = [];
	const record = line => {
		file.write(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}\n`);
	};

	const limit = new Promise((resolve, reject) => {
		setTimeout(() => {
			reject(new Error('the case took too long'));
		}, LIMIT_MS).unref();
	});
	let exitCode = EXIT_NOT_RUN;
	try {
		record(`disruption: ${HAS_TROUBLE ? 'yes' : 'no'}`);
		const {isBroken, summary} = await Promise.race([limit, play({
			record, onEnd(close) {
				closers.unshift(close);
			},
		})]);
		exitCode = isBroken ? EXIT_BROKEN : 0;
		record(`${isBroken ? 'BROKEN' : 'held'}: ${summary}`);
		process.stdout.write(`${isBroken ? 'BROKEN' : 'held'}: ${summary}\n`);
	} catch (error) {
		record(`not run: ${error.stack}`);
		process.stdout.write(`not run: ${error.message}\n`);
	}

	for (const close of closers) {
		await close();
	}

	await new Promise(resolve => {
		file.end(resolve);
	});
	process.exit(exitCode);
}
