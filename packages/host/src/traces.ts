/**
Where spans go, from the settings.
*/
import {type HostSettings} from '@gentianshift/settings';
import {type ExporterChoice} from '@gentianshift/telemetry';

export function createTraces({
	exporter,
	file,
	collector,
}: HostSettings['traces']): ExporterChoice {
	if (exporter === 'file' && file !== undefined) {
		return {exporter, file};
	}

	return exporter === 'otlp' && collector !== undefined
		? {exporter, collector}
		: {exporter: 'none'};
}
