#!/usr/bin/env node
/** Program `damaskspool`: command line for operators. */
import process from 'node:process';
import {createCli} from './createCli.js';

process.exit(await createCli().run(process.argv.slice(2)));
