import process from 'node:process';
import {createRpcCaller} from '@damaskspool/runtime';
import Table from 'cli-table3';
import {Command, Option} from 'clipanion';

type Row = Readonly<Record<string, string | number | boolean>>;

/** Asks a running entry what it knows. */
export class QueryCommand extends Command {
	static override paths = [['query']];
	static override usage = Command.Usage({
		category: 'Operation',
		description: 'Asks a running entry. The operator\'s key is read from DAMASKSPOOL_KEY.',
		examples: [['List the targets', 'damaskspool query --entry 127.0.0.1:8081 targets']],
	});

	text = Option.String();
	entry = Option.String('--entry', {required: true, description: 'control address of an entry, ip:port'});
	isJson = Option.Boolean('--json', false, {description: 'print JSON'});

	override async execute(): Promise<number> {
		const rpc = createRpcCaller();
		const authorization = `Bearer ${process.env.DAMASKSPOOL_KEY ?? ''}`;
		const reply = await rpc.call(this.entry, 'operator.query', {source: this.text}, authorization);
		await rpc.close();
		if (reply.err) {
			this.context.stderr.write(`${reply.val.message}\n`);
			return 1;
		}

		const {rows} = reply.val as {rows: Row[]};
		this.context.stdout.write(this.isJson ? `${JSON.stringify(rows)}\n` : `${formatRows(rows)}\n`);
		return 0;
	}
}

function formatRows(rows: readonly Row[]): string {
	const head = Object.keys(rows[0] ?? {});
	const table = new Table({head, style: {head: [], border: []}});
	table.push(...rows.map(row => head.map(column => String(row[column]))));
	return table.toString();
}
