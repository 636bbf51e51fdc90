import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdir, readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {describe, it} from 'node:test';

const PAGE = 'docs/operate/first-walk.md';

/** Runs the `sh` blocks of a page as one script, as a reader who pastes them into a shell would. */
async function runShellBlocks(page: string): Promise<{code: number | null; output: string}> {
	const blocks = [...page.matchAll(/^```sh\n(?<block>.*?)^```$/gmsv)].map(match => match.groups!.block!);
	// The trap ends the page's background process if a block fails.
	const script = ['set -e', 'trap \'[ -z "$TRY" ] || kill "$TRY" 2>/dev/null || true\' EXIT', ...blocks].join('\n');
	const shell = spawn('bash', ['-c', script], {stdio: ['ignore', 'pipe', 'pipe']});
	const [stdout, stderr] = await Promise.all([text(shell.stdout), text(shell.stderr), once(shell, 'exit')]);
	return {code: shell.exitCode, output: `${stdout}\n${stderr}`};
}

describe('the first-walk page', () => {
	it('works when its commands are pasted into a shell', async () => {
		await mkdir('out', {recursive: true});
		const {code, output} = await runShellBlocks(await readFile(PAGE, 'utf8'));
		assert.equal(code, 0, output);
		assert.match(output, /accepted as revision \d+/v);
		assert.match(output, /"completion_tokens":5/v);
		assert.match(output, /attempt\.send/v);
		assert.match(output, /in force at every entry/v);
		assert.match(output, /^401$/mv);
		assert.match(await readFile('out/burn.html', 'utf8'), /<svg/v);
	});
});
