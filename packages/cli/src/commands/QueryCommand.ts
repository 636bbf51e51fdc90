import {Command, Option} from 'clipanion';
import {EXIT_CODES} from '../exitCodes.js';
import {formatStatementProblem, parseStatement} from '../language/parseStatement.js';
import {OperatorCommand} from './OperatorCommand.js';

/** Asks a running entry. */
export class QueryCommand extends OperatorCommand {
	static override paths = [['query']];
	static override usage = Command.Usage({
		category: 'Operation',
		description: 'Asks a running entry, which asks the others. The operator\'s key is read from DAMASKSPOOL_KEY.',
		details: 'query SOURCE [where CONDITION] [group by COLUMNS] [order by COLUMNS] [limit N]; see docs/operate/language.md.',
		examples: [
			['List the targets', 'damaskspool query targets'],
			['Who uses most', 'damaskspool query \'usage group by customer order by generatedTokens desc limit 5\''],
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
