/**
Logs: one JSON object a line on standard output, each with the host and data centre.
*/
import process from 'node:process';
import bunyan from 'bunyan';

export type Logger = bunyan;

/** Levels a setting may name, most talkative first. */
export const logLevels = [
	'trace',
	'debug',
	'info',
	'warn',
	'error',
	'fatal',
] as const;

export type LogLevel = (typeof logLevels)[number];

export type LoggerOptions = {
	level: LogLevel;
	host: string;
	dataCentre: string;
	/** Where lines go; standard output where absent. */
	stream?: NodeJS.WritableStream;
};

/**
Makes the logger of one host.

@example
createLogger({level: 'info', host: 'm1', dataCentre: 'mieres'}).info({job: 'x'}, 'job admitted');
*/
export function createLogger({
	level,
	host,
	dataCentre,
	stream = process.stdout,
}: LoggerOptions): Logger {
	return bunyan.createLogger({
		name: 'gentianshift',
		level,
		stream,
		host,
		dataCentre,
	});
}
