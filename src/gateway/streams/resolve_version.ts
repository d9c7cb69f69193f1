/** Decides at which version a resumed stream may go on. */
import type { Milliseconds } from "../../util/units.ts";
import type { HostEntry } from "../port.ts";
import type { ArchiveFinding } from "./archive_reader.ts";
import type { KeeperAnswer, KeeperPoll } from "./keeper_client.ts";
import type { SoftwareVersion, StreamRecord, VersionBinding } from "./model.ts";
import type { VersionState } from "./version_history.ts";

/**
 * Time after the first listing of a second version within which keepers may
 * lack records of streams that began before it. Well above the time in which a
 * listing reaches all hosts and they have sent their records.
 */
const TRANSITION_MS = 5000;

/** Time within which a change of the listing has reached all hosts, mostly. */
const MAX_LISTING_LAG_MS = 500;

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

const UNKNOWN = { type: "unknown" } as const;

/** The version of a stream. */
export type Resolution = {
  readonly binding: VersionBinding;
  readonly source: VersionSource;
  /** Number of hosts that have responded. */
  readonly answered: number;
  /** Whether these are all that were asked. */
  readonly isHeard: boolean;
  /** Whether asking again can't change it. */
  readonly isFinal: boolean;
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
  /** Those of them that keep the stream's record, whoever made it. */
  readonly commonKeepers: readonly HostEntry[];
  /** Whether these are all other hosts. */
  readonly isFleetAsked: boolean;
  readonly ask: (hosts: readonly HostEntry[]) => Promise<KeeperPoll>;
  /**
   * The listing is as recent as the store's, but for the time in which a change
   * takes to reach all hosts.
   */
  readonly isListingRecent: () => boolean;
  /** Reads the listing from the store; resolves to whether it is current now. */
  readonly confirmListing: () => Promise<boolean>;
  /** Looks for the stream in the store. */
  readonly findArchived: () => Promise<ArchiveFinding>;
};

/**
 * Finds the version of a stream. Other hosts are asked unless this one sent it:
 * they may list a version that has not reached this host yet. Their silence is
 * no answer, since this host may be the one that is out of step, or several
 * may be together: the store is read then before anything is inferred.
 */
export async function resolveVersion(
  query: ResolutionQuery,
): Promise<Resolution> {
  const { record, origin, asked } = query;
  if (record?.origin === origin) {
    return bound(record, { source: "own", answered: 0, isHeard: true });
  }
  const poll = await query.ask(asked);
  const { answers } = poll;
  const isHeard = answers.length === asked.length;
  const about = { answered: answers.length, isHeard };
  const found = (choice: VersionChoice, source: VersionSource) =>
    bound(choice, { source, ...about });
  const unknown = (isFinal: boolean) =>
    ({ binding: UNKNOWN, source: "unknown", ...about, isFinal }) as const;
  const told = answers.flatMap(recordOf);
  // Others may have a later record than a host that doesn't hear all.
  if (told.length > 0 || record && isHeard) {
    const agreed = agreedVersion([...told, ...(record ? [record] : [])]);
    return agreed ? found(agreed, "kept") : unknown(true);
  }
  if (isHeard && query.isListingRecent()) {
    const only = inferOnly(query.stateOf(), answers);
    if (only) return found(only, "inferred");
  }
  const [isConfirmed, finding] = await Promise.all([
    query.confirmListing(),
    query.findArchived(),
  ]);
  if (finding.type === "found") return found(finding, "archived");
  if (finding.type === "contradictory") return unknown(true);
  if (record) return found(record, "kept");
  const isRead = isConfirmed && finding.type === "absent";
  const inferred = isRead
    ? inferFromStore(query, poll)
    : inferFromPeers(query, poll);
  return inferred ? found(inferred, "inferred") : unknown(isRead && isHeard);
}

/** What follows if the store lists what this host does and lacks the stream. */
function inferFromStore(
  query: ResolutionQuery,
  poll: KeeperPoll,
): VersionChoice | undefined {
  const { answers } = poll;
  const state = query.stateOf();
  if (state.type !== "mixed") return inferOnly(state, answers);
  // Others that lack the record may have lost it, or may never have had it.
  const witnesses = answers.filter((answer) =>
    hasRunBefore(answer) &&
    mixedForMs(answer) >= state.forMs - MAX_LISTING_LAG_MS
  ).map(({ host }) => host);
  return isRecordRuledOut(query, witnesses) &&
      isEachHallHeard(query.asked, poll)
    ? inferBefore(state, answers)
    : undefined;
}

/**
 * Whether no other host can have the record of a stream that these lack. A
 * stream begins once one of its keepers has its record, so that keeper may be
 * the only host besides the origin. Of a single host that is no witness, the
 * other of the two is one, unless the origin isn't asked.
 */
function isRecordRuledOut(
  { asked, commonKeepers, isFleetAsked }: ResolutionQuery,
  witnesses: readonly HostEntry[],
): boolean {
  if (!commonKeepers.some((host) => witnesses.includes(host))) return false;
  const others = asked.filter((host) => !witnesses.includes(host));
  return others.length === 1 && isFleetAsked ||
    !others.some((host) => commonKeepers.includes(host));
}

/**
 * What follows while the store doesn't respond. Hosts that have ended can't tell
 * what they knew, but unlike silent ones they are no sign of a cut.
 */
function inferFromPeers(
  { stateOf, asked, isListingRecent }: ResolutionQuery,
  { answers, ended }: KeeperPoll,
): VersionChoice | undefined {
  const state = stateOf();
  if (answers.length === asked.length) return inferOnly(state, answers);
  const accounted = answers.length + ended.length;
  const isAlone = answers.length === 0 && accounted < asked.length;
  const isCutOff = isAlone || 2 * accounted < asked.length;
  return isListingRecent() && !isCutOff ? inferOnly(state, answers) : undefined;
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

/** The version of a stream without a record, if a service has had only one. */
function inferOnly(
  state: VersionState,
  answers: readonly KeeperAnswer[],
): VersionChoice | undefined {
  if (state.type !== "single") return undefined;
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

/** Whether a host has run for long before the second version joined. */
function hasRunBefore({ response }: KeeperAnswer): boolean {
  return response.type === "unknown" && response.hasRunBefore !== false;
}

function mixedForMs({ response }: KeeperAnswer): Milliseconds {
  return response.type === "unknown" ? response.mixedForMs ?? 0 : 0;
}

/**
 * Whether a host of each hall has responded, apart from halls whose hosts have
 * all ended. A hall that is silent may be cut off with the keepers of a stream.
 */
function isEachHallHeard(
  asked: readonly HostEntry[],
  { answers, ended }: KeeperPoll,
): boolean {
  const heardHalls = new Set(answers.map(({ host }) => host.hall));
  return asked.every((host) =>
    heardHalls.has(host.hall) || ended.includes(host)
  );
}

/** The version that is taken for a stream's. */
type VersionChoice = { readonly softwareVersion: SoftwareVersion };

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
  about: Omit<Resolution, "binding" | "isFinal">,
): Resolution {
  const binding = { type: "bound", softwareVersion } as const;
  return { binding, ...about, isFinal: true };
}
