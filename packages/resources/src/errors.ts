/**
The errors that are thrown: only where a program cannot go on. Expected failures are values.
*/
import ModernError from 'modern-errors';

/** What all errors of this project come from. */
export const BaseError = ModernError.subclass('BaseError');

/** A host cannot start, as an address is taken or its settings cannot be carried out. */
export const StartError = BaseError.subclass('StartError');
