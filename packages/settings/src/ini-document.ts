/**
INI text with the lines that its sections and keys stand on.

The values are read by the `ini` library, which forgets lines and lets a repeated key win
silently; the locator beside it finds the lines and reports what the library passes over.
*/
import {parse} from 'ini';
import {type Finding} from '@gentianshift/resources';

/** One `key = value`; the line counts from 1. */
export type IniEntry = {key: string; value: string; line: number};

/** One `[name]` with its entries; the line counts from 1. */
export type IniSection = {name: string; line: number; entries: IniEntry[]};

/** A file's sections in order, and what is wrong with its form. */
export type IniDocument = {
	file: string;
	sections: IniSection[];
	findings: Finding[];
};

/** What the library makes of `key = value`: it turns true, false and null into JSON values. */
type IniValue = string | boolean | null | undefined;

const commentPattern = /^\s*(?:[#;].*)?$/v;
const sectionPattern = /^\s*\[([^\]]*)\]\s*$/v;
const entryPattern = /^\s*([^=]+?)\s*=/v;

/** Reads INI text; what is wrong with its form comes back as findings of the document. */
export function parseIni(text: string, file: string): IniDocument {
	const document = readSections(text, file);
	const values = parse(text) as Record<string, unknown>;
	for (const section of document.sections) {
		setValues(section, values[section.name]);
	}

	return document;
}

function setValues(section: IniSection, values: unknown): void {
	for (const entry of section.entries) {
		entry.value = formatValue(
			(values as Record<string, IniValue> | undefined)?.[entry.key],
		);
	}
}

function formatValue(value: IniValue): string {
	return value === undefined ? '' : String(value);
}

function readSections(text: string, file: string): IniDocument {
	const document: IniDocument = {file, sections: [], findings: []};
	for (const [index, content] of text.split(/\r?\n/v).entries()) {
		if (!commentPattern.test(content)) {
			readLine(document, content, index + 1);
		}
	}

	return document;
}

function readLine(document: IniDocument, content: string, line: number) {
	const section = sectionPattern.exec(content)?.[1];
	if (section !== undefined) {
		addSection(document, section.trim(), line);
		return;
	}

	const key = entryPattern.exec(content)?.[1];
	const current = document.sections.at(-1);
	if (key === undefined) {
		report(document, line, {
			code: 'malformed-line',
			message: `found "${content.trim().slice(0, 80)}"; allowed: [section], key = value, or a comment after ; or #`,
		});
	} else if (current === undefined) {
		report(document, line, {
			code: 'no-section',
			message: `found "${key}" before any section; allowed: keys below a [section]`,
		});
	} else {
		addEntry(document, current, {key, value: '', line});
	}
}

function addSection(document: IniDocument, name: string, line: number): void {
	const earlier = document.sections.find((section) => section.name === name);
	if (earlier) {
		report(document, line, {
			code: 'duplicate-section',
			path: [name],
			message: `found [${name}] again (first on line ${earlier.line}); allowed: once`,
		});
	}

	document.sections.push({name, line, entries: []});
}

function addEntry(
	document: IniDocument,
	section: IniSection,
	entry: IniEntry,
): void {
	const earlier = section.entries.find(({key}) => key === entry.key);
	if (earlier) {
		report(document, entry.line, {
			code: 'duplicate-key',
			path: [section.name, entry.key],
			message: `found "${entry.key}" again (first on line ${earlier.line}); allowed: once`,
		});
		return;
	}

	section.entries.push(entry);
}

function report(
	{file, findings}: IniDocument,
	line: number,
	{code, message, path = []}: {code: string; message: string; path?: string[]},
): void {
	findings.push({code, place: {file, line, path}, message});
}
