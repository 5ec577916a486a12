/**
Names for callers who cannot ask for an issuer first: claimed once in the platform's service.
*/
import {v7} from 'uuid';

/**
Makes a name for one job: a UUIDv7, accepted for about two minutes. It costs a write in the
platform's service and is refused while that is down; ids made under an issuer have neither cost.
*/
export function makeName(): string {
	return v7();
}
