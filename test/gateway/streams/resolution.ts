/** Resolutions of a stream with given responses of six hosts in three halls. */
import type { HostEntry } from "../../../src/gateway/mod.ts";
import type { KeeperAnswer } from "../../../src/gateway/streams/keeper_client.ts";
import type { AskResponse } from "../../../src/gateway/streams/keeper_messages.ts";
import type { StreamRecord } from "../../../src/gateway/streams/model.ts";
import {
  type ResolutionQuery,
  resolveVersion,
} from "../../../src/gateway/streams/resolve_version.ts";
import type { VersionState } from "../../../src/gateway/streams/version_history.ts";

export const HOSTS: HostEntry[] = [0, 1, 2, 3, 4, 5].map((at) => ({
  id: `h${at}`,
  address: `a${at}`,
  hall: `hall-${at % 3}`,
}));
export const SINGLE = {
  type: "single",
  softwareVersion: "v1",
  isCovered: true,
} as const satisfies VersionState;
const MIXED: VersionState = { type: "mixed", forMs: 60_000 };
export const NONE = {
  type: "unknown",
  versions: [],
} as const satisfies AskResponse;

export function known(
  softwareVersion: string | undefined,
  { origin = "h9@1", order = 1 } = {},
): AskResponse {
  const version = softwareVersion === undefined ? {} : { softwareVersion };
  return { type: "known", ...version, origin, order };
}

export function versions(
  ...listed: (string | null)[]
): Extract<AskResponse, { type: "unknown" }> {
  return { type: "unknown", versions: listed };
}

/** Responses of the hosts in order; null: none. */
export function resolve(
  responses: readonly (AskResponse | null)[],
  change: Partial<ResolutionQuery> = {},
) {
  const answers: KeeperAnswer[] = HOSTS.flatMap((host, at) => {
    const response = responses[at];
    return response ? [{ host, response }] : [];
  });
  return resolveVersion({
    origin: "self@1",
    record: undefined,
    stateOf: () => MIXED,
    asked: HOSTS,
    ask: () => Promise.resolve({ answers, ended: [] }),
    commonKeepers: HOSTS.slice(0, 3),
    isFleetAsked: true,
    isListingRecent: () => true,
    confirmListing: () => Promise.resolve(true),
    findArchived: () => Promise.resolve({ type: "absent" }),
    ...change,
  });
}

export function recordOf(origin: string, softwareVersion = "v1"): StreamRecord {
  const stream = { service: "s", id: "a" };
  return { stream, softwareVersion, origin, order: 1, expiresAt: 1 };
}
