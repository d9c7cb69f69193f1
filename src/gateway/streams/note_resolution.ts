/** Logs and counts how the version of a resumed stream was found. */
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { StreamKey } from "./model.ts";
import type { Resolution } from "./resolve_version.ts";
import type { VersionState } from "./version_history.ts";

/** Maximum number of characters logged of an id. */
const MAX_LOGGED_CHARS = 200;

/** Where resolutions are noted. */
export type ResolutionLog = {
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count">;
};

/** A resolution and what this host knew of its service. */
export type NotedResolution = {
  readonly stream: StreamKey;
  readonly state: VersionState;
  readonly resolution: Resolution;
};

/** Logs and counts a resolution. */
export function noteResolution(
  { events, metrics }: ResolutionLog,
  { stream, state, resolution }: NotedResolution,
): void {
  const { binding, source, answered, isHeard } = resolution;
  metrics.count(`stream_versions_${source}`);
  const fields = {
    service: stream.service,
    stream: stream.id.slice(0, MAX_LOGGED_CHARS),
    answered,
    is_heard: isHeard,
    state: state.type,
    is_covered: state.type === "single" && state.isCovered,
  };
  if (binding.type === "unknown") {
    return events.note("streamVersionUnknown", fields);
  }
  const { softwareVersion } = binding;
  const found = { ...fields, source, software_version: softwareVersion };
  events.note("streamVersionFound", found);
}
