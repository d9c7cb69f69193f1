/**
 * Which software versions each service has listed lately. While it was only
 * one, all streams that can still be resumed are of that version.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { MAX_RECORD_TTL_MS, type SoftwareVersion } from "./model.ts";
import type { VersionReport } from "./version_report.ts";

/**
 * Shortest time for which a version counts after it was last listed. A service
 * with streams that can be resumed for longer has a longer one.
 */
const MIN_WINDOW_MS = 60_000;

/** The versions of a service, as far as this host knows. */
export type VersionState =
  /** No replica of it was listed lately. */
  | { readonly type: "none" }
  | {
    readonly type: "single";
    readonly softwareVersion: SoftwareVersion;
    /** As in {@link VersionHistory.isCovered}. */
    readonly isCovered: boolean;
  }
  | {
    readonly type: "mixed";
    readonly forMs: Milliseconds;
    /**
     * The one version before; absent: there were several, or this host has not
     * seen the listings of a whole window.
     */
    readonly before?: { readonly softwareVersion: SoftwareVersion };
  };

type ServiceHistory = {
  /** When each version was last listed or used. */
  readonly seenAt: Map<SoftwareVersion, Milliseconds>;
  /** The versions of the listing. */
  listed: ReadonlySet<SoftwareVersion>;
  /** Of the streams that this host has sent. */
  longestTtlMs: Milliseconds;
  /** Meaningless while it has one version. */
  mixedSince: Milliseconds;
  before?: { readonly softwareVersion: SoftwareVersion };
};

/** The versions of all services. */
export class VersionHistory {
  readonly #services = new Map<string, ServiceHistory>();
  readonly #resumableForMs: (service: string) => Milliseconds;
  #startedAt: Milliseconds | undefined;
  /** Other hosts have reported all versions from before this host's start. */
  #isPastKnown = false;

  /** `resumableForMs` is the time for which a service's streams are resumed. */
  constructor(resumableForMs: (service: string) => Milliseconds = () => 0) {
    this.#resumableForMs = resumableForMs;
  }

  /** Records the replicas that are listed now. */
  observe(entries: readonly ReplicaEntry[], now: Milliseconds): void {
    if (entries.length > 0) this.#startedAt ??= now;
    const listed = new Map<string, Set<SoftwareVersion>>();
    for (const { service, softwareVersion } of entries) {
      const versions = listed.get(service) ?? new Set();
      listed.set(service, versions.add(softwareVersion));
    }
    for (const [service, versions] of listed) this.#see(service, versions, now);
    for (const [service, history] of this.#services) {
      history.listed = listed.get(service) ?? new Set();
    }
  }

  /**
   * Adds the versions that other hosts saw before this host started; what came
   * later it has seen itself.
   */
  learn({ isCovered, versions }: VersionReport, now: Milliseconds): void {
    this.#isPastKnown ||= isCovered;
    const startedAt = this.#startedAt ?? now;
    for (const { service, softwareVersion, seenAgoMs } of versions) {
      const { seenAt } = this.#historyOf(service);
      const known = this.versionsOf(service, now);
      const reportedAt = Math.min(startedAt, now - seenAgoMs);
      const knownAt = seenAt.get(softwareVersion) ?? -Infinity;
      seenAt.set(softwareVersion, Math.max(knownAt, reportedAt));
      this.#noteTransition(service, known, now);
    }
  }

  /** The versions that count, for hosts that start later. */
  report(now: Milliseconds): VersionReport {
    const versions = [...this.#services].flatMap(([service, history]) =>
      this.versionsOf(service, now).map((softwareVersion) => ({
        service,
        softwareVersion,
        isListed: history.listed.has(softwareVersion),
        seenAgoMs: now - (history.seenAt.get(softwareVersion) ?? now),
      }))
    );
    return { isCovered: this.isAllCovered(now), versions };
  }

  /** Whether {@link isCovered} holds for all services. */
  isAllCovered(now: Milliseconds): boolean {
    if (this.#isPastKnown) return true;
    if (this.#startedAt === undefined) return false;
    const services = [...this.#services.keys()];
    return services.every((service) => this.hasSeenWindow(service, now));
  }

  /**
   * Whether this host knows all versions of the whole window: it has seen the
   * listings itself, or others have reported what came before.
   */
  isCovered(service: string, now: Milliseconds): boolean {
    return this.#isPastKnown || this.hasSeenWindow(service, now);
  }

  /**
   * Records that a stream is sent to a replica of this version. The service
   * remembers versions for as long as its streams can be resumed.
   */
  noteUse(
    { service, softwareVersion, ttlMs }: {
      readonly service: string;
      readonly softwareVersion: SoftwareVersion;
      readonly ttlMs: Milliseconds;
    },
    now: Milliseconds,
  ): void {
    this.#see(service, [softwareVersion], now);
    const history = this.#services.get(service);
    if (history) history.longestTtlMs = Math.max(history.longestTtlMs, ttlMs);
  }

  /** The versions of a service that count now. */
  versionsOf(service: string, now: Milliseconds): SoftwareVersion[] {
    const history = this.#services.get(service);
    if (!history) return [];
    const windowMs = this.#windowOf(service);
    return [...history.seenAt]
      .filter(([, at]) => now - at <= windowMs)
      .map(([softwareVersion]) => softwareVersion);
  }

  /** Whether a service has one version or several. */
  stateOf(service: string, now: Milliseconds): VersionState {
    const history = this.#services.get(service);
    const versions = this.versionsOf(service, now);
    if (!history || versions.length === 0) return { type: "none" };
    if (versions.length === 1) {
      return {
        type: "single",
        softwareVersion: versions[0],
        isCovered: this.isCovered(service, now),
      };
    }
    const { before, mixedSince } = history;
    const state = { type: "mixed", forMs: now - mixedSince } as const;
    return before ? { ...state, before } : state;
  }

  /** All services that were ever listed or used. */
  get services(): Iterable<string> {
    return this.#services.keys();
  }

  #windowOf(service: string): Milliseconds {
    const resumableForMs = this.#resumableForMs(service);
    const longestTtlMs = this.#services.get(service)?.longestTtlMs ?? 0;
    return Math.max(MIN_WINDOW_MS, resumableForMs, longestTtlMs);
  }

  #see(
    service: string,
    versions: Iterable<SoftwareVersion>,
    now: Milliseconds,
  ): void {
    const history = this.#historyOf(service);
    const known = this.versionsOf(service, now);
    for (const [version, at] of history.seenAt) {
      if (now - at > MAX_RECORD_TTL_MS) history.seenAt.delete(version);
    }
    for (const version of versions) history.seenAt.set(version, now);
    this.#noteTransition(service, known, now);
  }

  /** `known`: the versions that counted before the last change. */
  #noteTransition(
    service: string,
    known: readonly SoftwareVersion[],
    now: Milliseconds,
  ): void {
    if (known.length > 1 || this.versionsOf(service, now).length < 2) return;
    const history = this.#historyOf(service);
    history.mixedSince = now;
    // What others report may lack the last moments before they ended.
    if (known.length === 1 && this.hasSeenWindow(service, now)) {
      history.before = { softwareVersion: known[0] };
    } else delete history.before;
  }

  /** Whether this host has seen the listings of the whole window. */
  hasSeenWindow(service: string, now: Milliseconds): boolean {
    const observedMs = now - (this.#startedAt ?? now);
    return observedMs >= this.#windowOf(service);
  }

  #historyOf(service: string): ServiceHistory {
    const history = this.#services.get(service) ?? createHistory();
    this.#services.set(service, history);
    return history;
  }
}

function createHistory(): ServiceHistory {
  return {
    seenAt: new Map(),
    listed: new Set(),
    longestTtlMs: 0,
    mixedSince: 0,
  };
}
