/** The program's entry. */
import process from 'node:process';

process.stdout.write('gentianshift\n');
