import {QUERY_SOURCES} from '@damaskspool/core';
import {Command} from 'clipanion';
import {EXIT_CODES} from '../exitCodes.js';

/** Completions by the preceding word of the command line. */
const COMPLETIONS_BY_WORD: Readonly<Record<string, readonly string[]>> = {
	damaskspool: ['query', 'create', 'change', 'withdraw', 'drain', 'explain', 'report', 'config', 'completion'],
	query: Object.keys(QUERY_SOURCES),
	create: ['customer', 'key', 'service', 'model'],
	change: ['customer', 'service'],
	withdraw: ['customer', 'key', 'service', 'model'],
	drain: ['target'],
	explain: ['request', 'target'],
	report: ['burn', 'usage', 'cost'],
	config: ['check'],
};
/** Keywords of a query, which complete like its columns. */
const CLAUSE_WORDS = ['where', 'and', 'or', 'not', 'group', 'by', 'order', 'desc', 'limit'];

/** Prints a script that enables command completion in bash. */
export class CompletionCommand extends Command {
	static override paths = [['completion', 'bash']];
	static override usage = Command.Usage({
		category: 'Shell',
		description: 'Prints a script that enables command completion in bash.',
		examples: [['Enable completion in the current shell', 'source <(damaskspool completion bash)']],
	});

	override async execute(): Promise<number> {
		const cases = Object.entries(COMPLETIONS_BY_WORD).map(([word, words]) => `\t\t${word}) words="${words.join(' ')}" ;;`);
		const sources = Object.entries(QUERY_SOURCES).map(([source, {columns}]) =>
			`\t\t\t${source}) words="${[...CLAUSE_WORDS, ...columns].join(' ')}" ;;`);
		this.context.stdout.write(`${[
			'_damaskspool() {',
			'\tlocal words=""',
			`\tcase ${toWordReference('COMP_CWORD-1')} in`,
			...cases,
			`\t\t*) if [ ${toWordReference('1')} = query ]; then case ${toWordReference('2')} in`,
			...sources,
			'\t\tesac; fi ;;',
			'\tesac',
			`\tCOMPREPLY=($(compgen -W "$words" -- ${toWordReference('COMP_CWORD')}))`,
			'}',
			'complete -F _damaskspool damaskspool',
		].join('\n')}\n`);
		return EXIT_CODES.ok;
	}
}

/** Returns a bash expression for one word of the command line. */
function toWordReference(index: string): string {
	return `"$\u007BCOMP_WORDS[${index}]}"`;
}
