import process from 'node:process';
import {createRpcClient} from '@damaskspool/runtime';
import {
	ERROR_DESCRIPTIONS, type Failure, type QueryReply, type QueryRow, type QueryStatement, type Result,
} from '@damaskspool/shared';
import {Command, Option} from 'clipanion';
import * as t from 'typanion';
import {EXIT_CODES} from '../exitCodes.js';
import {formatRows, OUTPUT_FORMATS, type OutputFormat} from '../output/formatRows.js';

/** Timeout of a call to an entry, which may first query all its peers. */
const CALL_TIMEOUT_MS = 10_000;

/** Base class of the commands that call a running entry. */
export abstract class OperatorCommand extends Command {
	entry = Option.String('--entry', process.env.DAMASKSPOOL_ENTRY ?? '', {
		description: 'control address of an entry, ip:port; default: DAMASKSPOOL_ENTRY',
	});

	isJson = Option.Boolean('--json', false, {description: 'print JSON'});
	format = Option.String('--format', {description: `${OUTPUT_FORMATS.join(', ')}; default: table`, validator: t.isEnum(OUTPUT_FORMATS)});

	protected async call(method: string, parameters: unknown): Promise<Result<unknown, Failure>> {
		const rpc = createRpcClient({timeoutMs: CALL_TIMEOUT_MS});
		const reply = await rpc.call(this.entry, method, parameters, `Bearer ${process.env.DAMASKSPOOL_KEY ?? ''}`);
		await rpc.close();
		return reply;
	}

	/** Returns whether the address of an entry is given. If not, writes an error to stderr. */
	protected checkEntryAddress(): boolean {
		if (this.entry === '') {
			this.context.stderr.write('no entry given: use --entry ip:port or set DAMASKSPOOL_ENTRY\n');
		}

		return this.entry !== '';
	}

	/** Writes the entry's error message to stderr, without the prefix that the RPC call added, and returns the exit code. */
	protected writeFailure(failure: Failure): number {
		const prefix = `${ERROR_DESCRIPTIONS[failure.code].message}: `;
		this.context.stderr.write(`${failure.message.replace(prefix, '').replace(/^operator\.\w+: /v, '')}\n`);
		return EXIT_CODES.failed;
	}

	protected async runQuery(query: QueryStatement): Promise<number> {
		const reply = await this.call('operator.query', {query});
		if (reply.err) {
			return this.writeFailure(reply.val);
		}

		const {rows, missing} = reply.val as QueryReply;
		this.writeRows(rows);
		if (missing.length > 0) {
			this.context.stderr.write(`incomplete result: no reply from ${missing.join(', ')}\n`);
			return EXIT_CODES.partial;
		}

		return EXIT_CODES.ok;
	}

	protected writeRows(rows: readonly QueryRow[]): void {
		const isColoured = (this.context.stdout as NodeJS.WriteStream).isTTY && process.env.NO_COLOR === undefined;
		this.context.stdout.write(formatRows(rows, this.resolveFormat(), isColoured));
	}

	protected resolveFormat(): OutputFormat {
		return this.isJson ? 'json' : this.format ?? 'table';
	}
}
