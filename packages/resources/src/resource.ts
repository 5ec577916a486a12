/**
A resource as hosts exchange and keep it: a spec at a revision of the platform's store.
*/
import {z} from 'zod';
import {kindSchema, nameSchema} from './kinds.js';

/**
One resource at one revision. A deleted one stays as a tombstone (`spec` null), so that
an older copy, arriving late from a peer, cannot bring it back.
*/
export const resourceSchema = z.object({
	kind: kindSchema,
	name: nameSchema,
	/** The store's modification revision; a higher one replaces a lower one, never the reverse. */
	revision: z.number().int().min(0),
	/** The random id of the change that made this revision: settles a lost reply. */
	changeId: z.string().max(64),
	spec: z.unknown().nullable(),
});

export type Resource = z.infer<typeof resourceSchema>;
export type ResourceKey = Pick<Resource, 'kind' | 'name'>;

/** The key of a resource in maps and in the platform's store. */
export function formatKey({kind, name}: ResourceKey): string {
	return `${kind}/${name}`;
}
