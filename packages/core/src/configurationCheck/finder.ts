import {type ConfigurationDraft, type ConfigurationPath} from './configurationDraft.js';

/** What the check of a draft knows beside the draft. */
export type CheckContext = {
	readonly draft: ConfigurationDraft;
	/** The version in force; undefined if it is not known. */
	readonly inForce?: ConfigurationDraft | undefined;
	/** Registered targets by service; undefined if they are not known. */
	readonly targetCounts?: ReadonlyMap<string, number> | undefined;
};

/** A place at which a check found something. The detail never contains a key. */
export type FoundPlace = {readonly path: ConfigurationPath; readonly detail: string};

/** A check of a draft: lists the places at which one thing is found. */
export type Finder = (context: CheckContext) => readonly FoundPlace[];
