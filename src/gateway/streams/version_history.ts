/**
 * Which software versions each service has listed lately. While it was only
 * one, all streams that can still be resumed are of that version.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { SoftwareVersion } from "./model.ts";

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
    /** This host has seen the listings of the whole window. */
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
    const windowMs = this.#windowOf(service, history);
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
      const observedMs = now - (this.#startedAt ?? now);
      return {
        type: "single",
        softwareVersion: versions[0],
        isCovered: observedMs >= this.#windowOf(service, history),
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

  #windowOf(
    service: string,
    { longestTtlMs }: ServiceHistory,
  ): Milliseconds {
    const resumableForMs = this.#resumableForMs(service);
    return Math.max(MIN_WINDOW_MS, resumableForMs, longestTtlMs);
  }

  #see(
    service: string,
    versions: Iterable<SoftwareVersion>,
    now: Milliseconds,
  ): void {
    const history = this.#services.get(service) ?? createHistory();
    this.#services.set(service, history);
    const known = this.versionsOf(service, now);
    for (const version of history.seenAt.keys()) {
      if (!known.includes(version)) history.seenAt.delete(version);
    }
    for (const version of versions) history.seenAt.set(version, now);
    if (known.length > 1 || history.seenAt.size < 2) return;
    history.mixedSince = now;
    const observedMs = now - (this.#startedAt ?? now);
    const isCovered = observedMs >= this.#windowOf(service, history);
    if (known.length === 1 && isCovered) {
      history.before = { softwareVersion: known[0] };
    } else delete history.before;
  }
}

function createHistory(): ServiceHistory {
  return {
    seenAt: new Map(),
    longestTtlMs: 0,
    mixedSince: 0,
  };
}
