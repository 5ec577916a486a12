/**
How a resource looks to operators: its revision also stands under the name `resourceVersion`,
which they give back with a change.
*/
import {type Resource} from '@gentianshift/resources';
import {type ResourceView} from './ports.js';

export type PresentedResource = Resource & {resourceVersion: number};
export type PresentedView = Omit<ResourceView, 'resource'> & {
	resource: PresentedResource;
};

export function presentView({resource, status}: ResourceView): PresentedView {
	return {
		resource: {...resource, resourceVersion: resource.revision},
		status,
	};
}
