/** Interface between the check of a configuration and the platform. A platform adapter implements it. */
import {
	type ChangedPart, type ConfigurationDraft, type ConfigurationPath, type FindingCode,
} from '@damaskspool/core';
import {type Failure, type Result} from '@damaskspool/shared';
import {type TextPlace} from './locateJson.js';

/** Place in the text of a configuration, with the names that the text uses. */
export type ConfigurationPlace = TextPlace & {readonly path: string};

/** Something that was found in the text itself. The detail may hold values of the text; see `secrets`. */
export type TextFinding = ConfigurationPlace & {readonly code: FindingCode; readonly detail: string};

/** The text of a configuration, parsed with the parser of an entry. */
export type ParsedConfigurationText = {
	/** Undefined if an entry would refuse the configuration. The findings say why. */
	readonly draft: ConfigurationDraft | undefined;
	readonly listFindings: () => readonly TextFinding[];
	readonly locate: (path: ConfigurationPath) => ConfigurationPlace;
	/** Keys in the text, which must not be printed wherever else they stand. */
	readonly secrets: readonly string[];
};

/** What the platform tells about the version in force. */
export type ConfigurationInForce = {
	/** Undefined if there is none. */
	readonly draft: ConfigurationDraft | undefined;
	readonly secrets: readonly string[];
	/** Registered targets by service; undefined if they could not be read. */
	readonly targetCounts: ReadonlyMap<string, number> | undefined;
};

/** What the check of a configuration needs of the platform. */
export type ConfigurationCheckPorts = {
	readonly parseText: (text: string) => ParsedConfigurationText;
	/** Reads the version in force from the store at an `ip:port`. Ends within some ten seconds. */
	readonly readInForce: (storeAddress: string) => Promise<Result<ConfigurationInForce, Failure>>;
	/** Returns the address of the store in the settings file that the environment names; undefined if it names none. */
	readonly findStoreAddress: () => Result<string | undefined, Failure>;
	/** Returns the name that the text uses for a field. */
	readonly formatField: (part: ChangedPart, field: string) => string;
};
