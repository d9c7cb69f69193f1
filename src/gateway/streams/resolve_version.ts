/** Decides at which version a resumed stream may go on. */
import type { Milliseconds } from "../../util/units.ts";
import type { HostEntry } from "../port.ts";
import type { KeeperAnswer, KeeperPoll } from "./keeper_client.ts";
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
  /** Whether these would know of a stream that any host began. */
  readonly isHeard: boolean;
};

/** Input of {@link resolveVersion}. */
export type ResolutionQuery = {
  /** The run of this host, as in its records. */
  readonly origin: string;
  /** This host's record of the stream, its own or a kept one. */
  readonly record: StreamRecord | undefined;
  readonly stateOf: () => VersionState;
  /** The hosts to ask. */
  readonly asked: readonly HostEntry[];
  readonly ask: (hosts: readonly HostEntry[]) => Promise<KeeperPoll>;
  /**
   * Reads the listing from the store; resolves to whether the store has
   * responded.
   */
  readonly confirmListing: () => Promise<boolean>;
  /** Finds the version in the store. */
  readonly findArchived: () => Promise<VersionChoice | undefined>;
};

/**
 * Finds the version of a stream. Other hosts are asked unless this one sent it:
 * they may list a version that has not reached this host yet. Their silence is
 * no answer, since this host may be the one that is cut off: the store is read
 * then before anything is inferred.
 */
export async function resolveVersion(
  query: ResolutionQuery,
): Promise<Resolution> {
  const { record, origin } = query;
  if (record?.origin === origin) {
    return bound(record, { source: "own", answered: 0, isHeard: false });
  }
  const poll = await query.ask(query.asked);
  const { answers } = poll;
  const isHeard = isFleetHeard(query.asked, poll);
  const about = { answered: answers.length, isHeard };
  const unknown: Resolution = {
    binding: { type: "unknown" },
    source: "unknown",
    ...about,
  };
  const found = (choice: VersionChoice, source: VersionSource) =>
    bound(choice, { source, ...about });
  const told = answers.flatMap(recordOf);
  // Others may have a later record than a host that hears nobody.
  if (told.length > 0 || record && isHeard) {
    const agreed = agreedVersion([...told, ...(record ? [record] : [])]);
    return agreed ? found(agreed, "kept") : unknown;
  }
  const isListed = isHeard || await query.confirmListing();
  const infer = () =>
    isListed ? inferVersion(query, { answers, isHeard }) : undefined;
  // While several versions count, the store may know the stream.
  const isMixed = query.stateOf().type === "mixed";
  const only = isHeard && !isMixed ? infer() : undefined;
  if (only) return found(only, "inferred");
  const archived = await query.findArchived();
  if (archived) return found(archived, "archived");
  if (record) return found(record, "kept");
  const inferred = infer();
  return inferred ? found(inferred, "inferred") : unknown;
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
  { stateOf }: Pick<ResolutionQuery, "stateOf">,
  { answers, isHeard }: {
    readonly answers: readonly KeeperAnswer[];
    readonly isHeard: boolean;
  },
): VersionChoice | undefined {
  const state = stateOf();
  if (state.type === "none") return undefined;
  if (state.type === "mixed") {
    return isHeard ? inferBefore(state, answers) : undefined;
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

/** The version before a second one joined, if no stream can be of that yet. */
function inferBefore(
  { forMs, before }: Extract<VersionState, { type: "mixed" }>,
  answers: readonly KeeperAnswer[],
): VersionChoice | undefined {
  // This host may have been cut off while the others were mixed for long.
  const ages = [forMs, ...answers.map(mixedForMs)];
  if (!before || Math.max(...ages) >= TRANSITION_MS) return undefined;
  const isKnownToAll = answers.every(({ response }) =>
    response.type === "known" || response.versions.length === 0 ||
    response.versions.includes(before.softwareVersion ?? null)
  );
  return isKnownToAll ? before : undefined;
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
 * Whether the hosts that responded would know of a stream that any host began.
 * One host at least responds, half of those asked do or have ended, and no hall
 * is silent: it may be cut off together with the keepers of a stream. A host
 * that has ended begins no more streams, and sent the records of its last ones
 * to other halls, too.
 */
function isFleetHeard(
  asked: readonly HostEntry[],
  { answers, ended }: KeeperPoll,
): boolean {
  if (asked.length === 0) return true;
  if (answers.length === 0) return false;
  const heardHalls = new Set(answers.map(({ host }) => host.hall));
  const isAccounted = 2 * (answers.length + ended.length) >= asked.length;
  return isAccounted &&
    asked.every((host) => heardHalls.has(host.hall) || ended.includes(host));
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
  { softwareVersion }: VersionChoice,
  about: Omit<Resolution, "binding">,
): Resolution {
  return { binding: { type: "bound", softwareVersion }, ...about };
}
