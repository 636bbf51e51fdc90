import {randomBytes, randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {type CommandStatement, hashText, type QueryReply} from '@damaskspool/shared';
import {Command, Option} from 'clipanion';
import {EXIT_CODES} from '../exitCodes.js';
import {formatStatementProblem, parseStatement} from '../language/parseStatement.js';
import {OperatorCommand} from './OperatorCommand.js';

/** Length of a new key: 192 random bits cannot be guessed. */
const KEY_BYTES = 24;
/** Time between checks which entries have applied a change. */
const CONFIRMATION_POLL_INTERVAL_MS = 200;
/** Entries apply a change within 10 s. After twice that time, an entry is likely cut off from the others. */
const CONFIRMATION_TIMEOUT_MS = 20_000;

type ChangeReply = {readonly preview: readonly string[]; readonly revision?: number};

/** Submits a command that changes the configuration or drains a target. */
export class ChangeCommand extends OperatorCommand {
	static override paths = [['create'], ['change'], ['withdraw'], ['drain']];
	static override usage = Command.Usage({
		category: 'Operation',
		description: 'Submits a change. The change is accepted once its revision is printed. The operator\'s key is read from DAMASKSPOOL_KEY.',
		details: 'See docs/operate/language.md.',
		examples: [
			['Create a customer', 'damaskspool create customer famiglia-etna weight=2'],
			['Create a key, which is printed only once', 'damaskspool create key for famiglia-etna --wait'],
			['Preview a change', 'damaskspool withdraw customer famiglia-etna --dry-run'],
			['Drain and stop a target', 'damaskspool drain target assistant-1'],
		],
	});

	words = Option.Rest({required: 1});
	isDryRun = Option.Boolean('--dry-run', false, {description: 'print the changes without applying them'});
	isWaiting = Option.Boolean('--wait', false, {description: 'wait until every entry has applied the change'});

	override async execute(): Promise<number> {
		const text = [this.path[0], ...this.words].join(' ');
		const parsed = parseStatement(text);
		if (parsed.err) {
			this.context.stderr.write(`${formatStatementProblem(text, parsed.val)}\n`);
			return EXIT_CODES.invalid;
		}

		if (!this.checkEntryAddress() || parsed.val.kind !== 'command') {
			return EXIT_CODES.invalid;
		}

		const {command, key} = createKey(parsed.val.command);
		const reply = await this.call('operator.change', {command, isDryRun: this.isDryRun, changeId: randomUUID()});
		if (reply.err) {
			return this.writeFailure(reply.val);
		}

		return this.report(reply.val as ChangeReply, key);
	}

	private async report({preview, revision}: ChangeReply, key: string | undefined): Promise<number> {
		if (this.isDryRun) {
			this.context.stdout.write(`${preview.join('\n')}\nnothing was changed\n`);
			return EXIT_CODES.ok;
		}

		if (this.isJson) {
			this.context.stdout.write(`${JSON.stringify({revision, key, preview})}\n`);
		} else {
			this.context.stdout.write(revision === undefined ? 'ordered\n' : `accepted as revision ${revision}\n`);
			if (key !== undefined) {
				this.context.stdout.write(`key ${key}\n`);
			}
		}

		return this.isWaiting && revision !== undefined ? this.waitUntilApplied(revision) : EXIT_CODES.ok;
	}

	private async waitUntilApplied(revision: number): Promise<number> {
		const timeoutAtMs = performance.now() + CONFIRMATION_TIMEOUT_MS;
		let unconfirmed: string[] = [];
		do {
			const reply = await this.call('operator.query', {query: {source: 'instances'}});
			if (reply.err) {
				return this.writeFailure(reply.val);
			}

			const {rows, missing} = reply.val as QueryReply;
			const outdated = rows.filter(row => row.kind === 'entry' && Number(row.revision) < revision).map(row => String(row.instance));
			unconfirmed = [...outdated, ...missing];
			if (unconfirmed.length === 0) {
				this.context.stderr.write('in force at every entry\n');
				return EXIT_CODES.ok;
			}

			await wait(CONFIRMATION_POLL_INTERVAL_MS);
		} while (performance.now() < timeoutAtMs);

		this.context.stderr.write(`accepted, but not confirmed by ${unconfirmed.join(', ')}\n`);
		return EXIT_CODES.partial;
	}
}

/**
 * Generates the key for a `create key` command. The command carries only the key's
 * hash, so the key itself is never sent.
 */
function createKey(command: CommandStatement): {command: CommandStatement; key: string | undefined} {
	if (command.verb !== 'create' || command.thing !== 'key') {
		return {command, key: undefined};
	}

	const key = `dmsk_${randomBytes(KEY_BYTES).toString('base64url')}`;
	return {command: {...command, name: hashText(key)}, key};
}
