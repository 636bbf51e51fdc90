import process from 'node:process';
import {createRpcClient} from '@damaskspool/runtime';
import {
	ERROR_DESCRIPTIONS, type Failure, type QueryReply, type QueryRow, type QueryStatement, type Result,
} from '@damaskspool/shared';
import {Command, Option} from 'clipanion';
import * as t from 'typanion';
import {EXIT_CODES} from '../exitCodes.js';
import {formatRows, OUTPUT_FORMATS, type OutputFormat} from '../output/formatRows.js';

/** Longest wait for an entry, which may ask all its peers first. */
const CALL_TIMEOUT_MS = 10_000;

/** What every command that asks a running entry has. */
export abstract class OperatorCommand extends Command {
	entry = Option.String('--entry', process.env.DAMASKSPOOL_ENTRY ?? '', {
		description: 'control address of an entry, ip:port; read from DAMASKSPOOL_ENTRY where left out',
	});

	isJson = Option.Boolean('--json', false, {description: 'print JSON'});
	format = Option.String('--format', {description: `${OUTPUT_FORMATS.join(', ')}; a table where left out`, validator: t.isEnum(OUTPUT_FORMATS)});

	protected async call(method: string, parameters: unknown): Promise<Result<unknown, Failure>> {
		const rpc = createRpcClient({timeoutMs: CALL_TIMEOUT_MS});
		const reply = await rpc.call(this.entry, method, parameters, `Bearer ${process.env.DAMASKSPOOL_KEY ?? ''}`);
		await rpc.close();
		return reply;
	}

	protected hasEntry(): boolean {
		if (this.entry === '') {
			this.context.stderr.write('expected --entry ip:port or DAMASKSPOOL_ENTRY\n');
		}

		return this.entry !== '';
	}

	/** Says what failed, without the frame that the call put around the entry's own words. */
	protected writeFailure(failure: Failure): number {
		const frame = `${ERROR_DESCRIPTIONS[failure.code].message}: `;
		this.context.stderr.write(`${failure.message.replace(frame, '').replace(/^operator\.\w+: /v, '')}\n`);
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
			this.context.stderr.write(`without the part of ${missing.join(', ')}, which did not answer\n`);
			return EXIT_CODES.partial;
		}

		return EXIT_CODES.ok;
	}

	protected writeRows(rows: readonly QueryRow[]): void {
		const isColoured = (this.context.stdout as NodeJS.WriteStream).isTTY && process.env.NO_COLOR === undefined;
		this.context.stdout.write(formatRows(rows, this.readFormat(), isColoured));
	}

	protected readFormat(): OutputFormat {
		return this.isJson ? 'json' : this.format ?? 'table';
	}
}
