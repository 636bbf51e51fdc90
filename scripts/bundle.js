/**
 * Joins the program of an entry on the platform with its libraries into one
 * file, which starts faster and smaller than loading them one by one.
 */
import process from 'node:process';
import {build} from 'esbuild';

// The bundler compiles filters itself and takes no flags.
// eslint-disable-next-line require-unicode-regexp
const TS_RESULTS = /^ts-results$/;
// eslint-disable-next-line require-unicode-regexp
const ANY = /.*/;

/**
 * The CommonJS form of ts-results asks for its parts in a way that cannot be
 * bundled; its ES form has no default export, which the code base imports.
 */
const resultsPlugin = {
	name: 'results',
	setup({onResolve, onLoad}) {
		onResolve({filter: TS_RESULTS}, () => ({path: 'ts-results', namespace: 'results'}));
		onLoad({filter: ANY, namespace: 'results'}, () => ({
			contents: 'import * as results from \'ts-results/esm/index.js\'; export default results;',
			resolveDir: process.cwd(),
		}));
	},
};

await build({
	entryPoints: ['platform/dist/main.js'],
	outfile: 'target/entry.mjs',
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	mainFields: ['module', 'main'],
	plugins: [resultsPlugin],
	logLevel: 'warning',
	// Libraries in CommonJS ask for built-in modules by `require`, which an ES module lacks.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
});
