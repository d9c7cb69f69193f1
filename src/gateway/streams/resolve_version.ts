/** Decides at which version a resumed stream may go on. */
import type { Milliseconds } from "../../util/units.ts";
import type { HostEntry } from "../port.ts";
import type { KeeperAnswer } from "./keeper_client.ts";
import type { SoftwareVersion, StreamRecord, VersionBinding } from "./model.ts";
import type { VersionState } from "./version_history.ts";

/**
 * Time after the first listing of a second version within which keepers may
 * lack records of streams that began before it. Well above the time in which a
 * listing reaches all hosts and they have sent their records.
 */
const TRANSITION_MS = 5000;

/** Where a version was found. */
export const VersionSource = {
  /** This host sent the stream. */
  own: "own",
  /** A keeper had its record. */
  kept: "kept",
  /** It may have begun at one version only. */
  inferred: "inferred",
  /** A row of the store had it. */
  archived: "archived",
  unknown: "unknown",
} as const;
/** One of the values of {@link VersionSource}. */
export type VersionSource = typeof VersionSource[keyof typeof VersionSource];

/** The version of a stream. */
export type Resolution = {
  readonly binding: VersionBinding;
  readonly source: VersionSource;
  /** Number of hosts that have responded. */
  readonly answered: number;
};

/** Input of {@link resolveVersion}. */
export type ResolutionQuery = {
  readonly self: HostEntry;
  /** The run of this host, as in its records. */
  readonly origin: string;
  /** This host's record of the stream, its own or a kept one. */
  readonly record: StreamRecord | undefined;
  readonly stateOf: () => VersionState;
  /** False: other hosts may know versions that this one doesn't. */
  readonly isListingFresh: boolean;
  /** The hosts to ask. */
  readonly asked: readonly HostEntry[];
  readonly ask: (
    hosts: readonly HostEntry[],
  ) => Promise<readonly KeeperAnswer[]>;
  /** Finds the version in the store. */
  readonly findArchived: () => Promise<VersionChoice | undefined>;
};

/**
 * Finds the version of a stream. Other hosts are asked unless this one sent it:
 * they may list a version that has not reached this host yet.
 */
export async function resolveVersion(
  query: ResolutionQuery,
): Promise<Resolution> {
  const { record, origin } = query;
  if (record?.origin === origin) {
    return bound(record.softwareVersion, { source: "own", answered: 0 });
  }
  const answers = await query.ask(query.asked);
  const answered = answers.length;
  const records = [...answers.flatMap(recordOf), ...(record ? [record] : [])];
  if (records.length > 0) {
    const agreed = agreedVersion(records);
    return agreed
      ? bound(agreed.softwareVersion, { source: "kept", answered })
      : unknown(answered);
  }
  const inferred = inferVersion(query, answers);
  if (inferred) {
    return bound(inferred.softwareVersion, { source: "inferred", answered });
  }
  const archived = await query.findArchived();
  return archived
    ? bound(archived.softwareVersion, { source: "archived", answered })
    : unknown(answered);
}

type KnownVersion = Pick<StreamRecord, "softwareVersion" | "origin" | "order">;

function recordOf({ response }: KeeperAnswer): KnownVersion[] {
  if (response.type === "unknown") return [];
  const { softwareVersion, origin, order } = response;
  return [{ softwareVersion, origin, order }];
}

/**
 * The version of the latest records; undefined if those of different origins
 * contradict each other.
 */
function agreedVersion(
  records: readonly KnownVersion[],
): VersionChoice | undefined {
  const latest = new Map<string, KnownVersion>();
  for (const record of records) {
    const known = latest.get(record.origin);
    if (!known || record.order > known.order) latest.set(record.origin, record);
  }
  return onlyOf([...latest.values()].map((record) => record.softwareVersion));
}

/** The version of a stream without a record, if it can only be one. */
function inferVersion(
  query: ResolutionQuery,
  answers: readonly KeeperAnswer[],
): VersionChoice | undefined {
  const state = query.stateOf();
  if (state.type === "none") return undefined;
  if (state.type === "mixed") {
    // This host may have been cut off while the others were mixed for long.
    const ages = [state.forMs, ...answers.map(mixedForMs)];
    const { before } = state;
    if (!before || Math.max(...ages) >= TRANSITION_MS) return undefined;
    const isKnownToAll = answers.every(({ response }) =>
      response.type === "known" || response.versions.length === 0 ||
      response.versions.includes(before.softwareVersion ?? null)
    );
    return isKnownToAll ? before : undefined;
  }
  if (!query.isListingFresh && !isEachHallHeard(query, answers)) {
    return undefined;
  }
  // A version may have ended just before this host started. Hosts that have
  // just started, too, can't rule that out.
  const isCovered = state.isCovered || answers.some(isFromCoveredHost);
  if (!isCovered) return undefined;
  const others = answers.flatMap(({ response }) =>
    response.type === "unknown" ? response.versions : []
  );
  return onlyOf([
    state.softwareVersion,
    ...others.map((version) => version ?? undefined),
  ]);
}

/** Whether a host knows all versions of the time in which streams are resumed. */
function isFromCoveredHost({ response }: KeeperAnswer): boolean {
  if (response.type === "known") return false;
  // A host of a build that doesn't tell has mostly run for long.
  return response.isCovered ?? response.versions.length > 0;
}

function mixedForMs({ response }: KeeperAnswer): Milliseconds {
  return response.type === "unknown" ? response.mixedForMs ?? 0 : 0;
}

/**
 * Whether all other halls have responded. One that hasn't may have replicas of
 * a version that has never been listed on this side.
 */
function isEachHallHeard(
  { self, asked }: ResolutionQuery,
  answers: readonly KeeperAnswer[],
): boolean {
  const heard = new Set(answers.map(({ host }) => host.hall));
  return asked.every(({ hall }) => hall === self.hall || heard.has(hall));
}

/** The version that is taken for a stream's. */
export type VersionChoice = { readonly softwareVersion: SoftwareVersion };

/** The only version among these; undefined if they are several. */
function onlyOf(
  versions: readonly SoftwareVersion[],
): VersionChoice | undefined {
  const [softwareVersion] = versions;
  const isSame = versions.every((version) => version === softwareVersion);
  return isSame ? { softwareVersion } : undefined;
}

function bound(
  softwareVersion: SoftwareVersion,
  { source, answered }: Pick<Resolution, "source" | "answered">,
): Resolution {
  return { binding: { type: "bound", softwareVersion }, source, answered };
}

function unknown(answered: number): Resolution {
  return { binding: { type: "unknown" }, source: "unknown", answered };
}
