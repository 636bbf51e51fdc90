import {Command, Option} from 'clipanion';
import {EXIT_CODES} from '../exitCodes.js';
import {formatStatementProblem, parseStatement} from '../language/parseStatement.js';
import {OperatorCommand} from './OperatorCommand.js';

/** Runs a query on a running entry. */
export class QueryCommand extends OperatorCommand {
	static override paths = [['query']];
	static override usage = Command.Usage({
		category: 'Operation',
		description: 'Runs a query on a running entry, which collects rows from the other entries. The operator\'s key is read from DAMASKSPOOL_KEY.',
		details: 'query SOURCE [where CONDITION] [group by COLUMNS] [order by COLUMNS] [limit N]; see docs/operate/language.md.',
		examples: [
			['List the targets', 'damaskspool query targets'],
			['List the customers that use the most tokens', 'damaskspool query \'usage group by customer order by generatedTokens desc limit 5\''],
		],
	});

	words = Option.Rest({required: 1});

	override async execute(): Promise<number> {
		const text = `query ${this.words.join(' ')}`;
		const parsed = parseStatement(text);
		if (parsed.err) {
			this.context.stderr.write(`${formatStatementProblem(text, parsed.val)}\n`);
			return EXIT_CODES.invalid;
		}

		if (!this.checkEntryAddress() || parsed.val.kind !== 'query') {
			return EXIT_CODES.invalid;
		}

		return this.runQuery(parsed.val.query);
	}
}
