import {randomBytes, randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {type CommandStatement, hashText, type QueryReply} from '@damaskspool/shared';
import {Command, Option} from 'clipanion';
import {EXIT_CODES} from '../exitCodes.js';
import {formatStatementProblem, parseStatement} from '../language/parseStatement.js';
import {OperatorCommand} from './OperatorCommand.js';

/** Bytes of a new key: more than can be guessed. */
const KEY_BYTES = 24;
/** Time between looks at who has a change in force. */
const CONFIRMATION_POLL_INTERVAL_MS = 200;
/** A change is in force everywhere within ten seconds; later than twice that, somebody is cut off. */
const CONFIRMATION_TIMEOUT_MS = 20_000;

type ChangeReply = {readonly preview: readonly string[]; readonly revision?: number};

/** Issues a change. */
export class ChangeCommand extends OperatorCommand {
	static override paths = [['create'], ['change'], ['withdraw'], ['drain']];
	static override usage = Command.Usage({
		category: 'Operation',
		description: 'Issues a change, which holds once its revision is printed. The operator\'s key is read from DAMASKSPOOL_KEY.',
		details: 'See docs/operate/language.md.',
		examples: [
			['Create a customer', 'damaskspool create customer famiglia-etna weight=2'],
			['Issue a key, which is printed once', 'damaskspool create key for famiglia-etna --wait'],
			['See what a change would do', 'damaskspool withdraw customer famiglia-etna --dry-run'],
			['Drain a target and have it stopped', 'damaskspool drain target assistant-1'],
		],
	});

	words = Option.Rest({required: 1});
	isDryRun = Option.Boolean('--dry-run', false, {description: 'say what would change, and change nothing'});
	isWaiting = Option.Boolean('--wait', false, {description: 'wait until every entry has the change in force'});

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

		return this.reportResult(reply.val as ChangeReply, key);
	}

	private async reportResult({preview, revision}: ChangeReply, key: string | undefined): Promise<number> {
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

/** A new key is made here and only its digest leaves this process. */
function createKey(command: CommandStatement): {command: CommandStatement; key: string | undefined} {
	if (command.verb !== 'create' || command.thing !== 'key') {
		return {command, key: undefined};
	}

	const key = `dmsk_${randomBytes(KEY_BYTES).toString('base64url')}`;
	return {command: {...command, name: hashText(key)}, key};
}
