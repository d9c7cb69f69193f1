/** The versions of streams at a host without other hosts. */
import { systemClock } from "../../../src/gateway/clock.ts";
import {
  StreamVersions,
  type StreamVersionsOptions,
} from "../../../src/gateway/streams/stream_versions.ts";

/** Creates the record of stream versions of a single host. */
export function singleHostStreams(
  options: Partial<StreamVersionsOptions> = {},
): StreamVersions {
  return new StreamVersions({
    self: { id: "host", hall: "hall", address: "127.0.0.1:1", run: "1" },
    clock: systemClock,
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    replicas: { entries: () => [] },
    hosts: () => [],
    resumableForMs: () => 0,
    listingAgeMs: () => 0,
    confirmListing: () => Promise.resolve(true),
    createClient: () => {
      throw new Error("unexpected call: the fleet has a single host");
    },
    store: {
      readRows: () => Promise.resolve({ rows: [], nowMs: 0 }),
      writeRow: () =>
        Promise.resolve({ type: "written", revision: 1, nowMs: 0 }),
      removeRow: () => Promise.resolve({ type: "conflict" }),
    },
    ...options,
  });
}
