/**
 * Applies store state from all sources to the local tables: from the store,
 * from reports of the reader, and from peers. Never replaces newer state by
 * older.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { eraOf, type Position, positionOf, revisionOf } from "../position.ts";
import type { ListingChanges, ReplicaListing } from "../replicas/model.ts";
import type { ListingChange } from "../replicas/listing_change.ts";
import type { RouteConfig } from "../routing/model.ts";
import type { VersionAnnouncement } from "./config_catchup.ts";
import type { ReaderReport } from "./hall_follower.ts";
import { SETTLE_MS } from "./store_eras.ts";

/** A follower reads the store itself if its store state is older than this. */
const MAX_REPORT_AGE_MS = 1300;
/**
 * As `MAX_REPORT_AGE_MS`, for a host with followers. Lower, so that it reads the
 * store before all its followers would do so at once. The listing that its
 * reader makes every 700 ms is never that old while the reader works.
 */
const MAX_RELAY_REPORT_AGE_MS = 1000;

/** Options of {@link Synchronizer}. */
export type SynchronizerOptions = {
  readonly context: GatewayContext;
  readonly onConfig: (config: RouteConfig) => void;
  /** A configuration version exists that this host lacks. */
  readonly onVersionAnnounced: (announcement: VersionAnnouncement) => void;
  /**
   * Routes or replicas have changed, or the store state was confirmed again.
   */
  readonly onChange: () => void;
  /** A listing that this host has just applied contains draining replicas. */
  readonly onDraining: (incarnations: readonly string[]) => void;
  /** Whether other hosts follow this one. */
  readonly hasFollowers: () => boolean;
};

/** When the state in the reader's last report was current. */
type ReportTime = {
  readonly asOf: Milliseconds;
};

/** Applies store state and tracks its age. */
export class Synchronizer {
  readonly #context: GatewayContext;
  readonly #options: SynchronizerOptions;
  /** When the last successful call to the store began. */
  #readAt: Milliseconds | undefined;
  #lastReport: ReportTime | undefined;
  /** The reader's listing, as this host has it, was the store's at this time. */
  #listedAsOf: Milliseconds = -Infinity;
  /** The local configuration was the store's newest one at this time. */
  #configAsOf: Milliseconds = -Infinity;
  #isStoreUnavailable = false;
  #settledAt: Milliseconds = 0;

  constructor(options: SynchronizerOptions) {
    this.#context = options.context;
    this.#options = options;
  }

  /** Age of the newest known store state; Infinity before the first. */
  storeAgeMs(now: Milliseconds): Milliseconds {
    const asOf = Math.max(this.#readAt ?? -1, this.#lastReport?.asOf ?? -1);
    return asOf < 0 ? Infinity : now - asOf;
  }

  /**
   * Age of the local listing; Infinity before the first. Unlike
   * {@link storeAgeMs} it counts the time for which a report was on its way or
   * waited for this host.
   */
  listingAgeMs(now: Milliseconds): Milliseconds {
    return now - Math.max(this.#readAt ?? -Infinity, this.#listedAsOf);
  }

  /**
   * Time since the local configuration was last known to be the store's newest;
   * Infinity before the first time.
   */
  configAgeMs(now: Milliseconds): Milliseconds {
    return now - this.#configAsOf;
  }

  /**
   * Discards all ages after the machine was suspended: the state is older than
   * the steady clock shows.
   */
  resetAges(forMs: Milliseconds): void {
    this.#context.events.note("suspended", { for_ms: Math.round(forMs) });
    this.#readAt = undefined;
    this.#lastReport = undefined;
    this.#listedAsOf = -Infinity;
    this.#configAsOf = -Infinity;
  }

  /**
   * Records that the store had no version newer than this one at `asOf`, by
   * this host's clock; `asOf` must not be later than the read.
   */
  noteNewest(version: number, asOf: Milliseconds): void {
    if (version > this.#context.routes.version) return;
    this.#configAsOf = Math.max(this.#configAsOf, asOf);
  }

  /**
   * Age of the state to report to followers; Infinity: report none. A host
   * whose store calls failed until recently reports none, since followers that
   * the store served have better state, unless its own reader confirms it. Nor does a host that may only have seen
   * the store after a restore. A host that observed an earlier era continues to
   * report, so that its followers don't all list the replicas at once.
   */
  reportableAgeMs(now: Milliseconds): Milliseconds {
    const isUnconfirmed = this.#wasUnavailable(now) &&
      !this.hasFreshReport(now);
    const isWithheld = isUnconfirmed || this.#context.eras.isUnverified(now);
    return isWithheld ? Infinity : this.storeAgeMs(now);
  }

  /**
   * Whether to retain replicas that a listing lacks: the store has only just
   * become available or been restored, and may lack live replicas.
   */
  retainsMissing(now: Milliseconds): boolean {
    return this.#wasUnavailable(now) || !this.#context.eras.isSettled(now);
  }

  #wasUnavailable(now: Milliseconds): boolean {
    return this.#isStoreUnavailable || now < this.#settledAt;
  }

  /**
   * Whether the reader's report is fresh, so that this host need not read the
   * store.
   */
  hasFreshReport(now: Milliseconds): boolean {
    return this.freshForMs(now) > 0;
  }

  /** Time until the reader's last report expires; at least 0. */
  freshForMs(now: Milliseconds): Milliseconds {
    if (this.#lastReport === undefined) return 0;
    const freshMs = this.#options.hasFollowers()
      ? MAX_RELAY_REPORT_AGE_MS
      : MAX_REPORT_AGE_MS;
    return Math.max(0, this.#lastReport.asOf + freshMs - now);
  }

  /**
   * Applies a configuration from the store or a peer; false: it is not newer.
   */
  applyConfig(config: RouteConfig, source: string): boolean {
    const { routes, events } = this.#context;
    const before = routes.version;
    if (!routes.adopt(config)) return false;
    events.note("configAdopted", {
      version: config.version,
      before,
      routes: config.routes.length,
      source,
    });
    this.#options.onConfig(config);
    this.#options.onChange();
    return true;
  }

  /**
   * Records an announced version. Announces a new one to followers at once,
   * also if this host can't fetch it.
   */
  noteVersion(announcement: VersionAnnouncement, source: string): void {
    const { routes, events } = this.#context;
    const { version } = announcement;
    if (version <= routes.version) return;
    const isNew = routes.noteVersion(version);
    this.#options.onVersionAnnounced(announcement);
    if (!isNew) return;
    events.note("configHeard", { version, held: routes.version, source });
    this.#options.onChange();
  }

  /** Applies a listing from a peer or the store; false: it is older. */
  applyListing(listing: ReplicaListing, source: string): boolean {
    const { clock, eras, replicas } = this.#context;
    const now = clock.now();
    eras.observe(listing.revision, now);
    if (eraOf(listing.revision) < eras.era) return false;
    const change = replicas.adopt(listing, {
      retainMissing: this.retainsMissing(now),
      // After an outage, too: nobody could write again what a restore has lost.
      excludeRemoved: this.retainsMissing(now),
    });
    if (change) this.#noteChange(change, listing.revision, source);
    return change !== undefined;
  }

  /** Applies changes of the store's listing; false: they are older. */
  applyChanges(changes: ListingChanges): boolean {
    const { clock, eras, replicas } = this.#context;
    eras.observe(changes.revision, clock.now());
    if (eraOf(changes.revision) < eras.era) return false;
    const change = replicas.applyChanges(changes);
    if (change) this.#noteChange(change, changes.revision, "store");
    return change !== undefined;
  }

  /** Applies a report of the reader; false: its listing has a gap. */
  applyReport(report: ReaderReport): boolean {
    const { message, reader, configAsOf } = report;
    const { clock, replicas, eras } = this.#context;
    const now = clock.now();
    const { listing, ageMs, era } = message;
    if (message.config) this.applyConfig(message.config, reader);
    if (configAsOf !== undefined) this.noteNewest(message.version, configAsOf);
    this.noteVersion(announcementOf(report), reader);
    if (era !== undefined) {
      const isSettled = ageMs !== undefined && message.isSettling !== true;
      eras.observe(positionOf(era, 0), now, { isSettled });
    }
    // A report of an earlier era does not show the current store state.
    if ((era ?? 0) < eras.era) return true;
    const change = listing ? replicas.applyDelta(listing) : undefined;
    if (change === "gap") return false;
    if (listing && change && change !== "older") {
      this.#noteChange(change, listing.revision, reader);
    }
    if (ageMs === undefined) return true;
    const { listedAsOf = -Infinity } = report;
    this.#listedAsOf = Math.max(this.#listedAsOf, listedAsOf);
    const before = this.storeAgeMs(now);
    const asOf = Math.max(this.#lastReport?.asOf ?? -Infinity, now - ageMs);
    this.#lastReport = { asOf };
    if (ageMs < before) this.#options.onChange();
    return true;
  }

  /**
   * Records the outcome of a listing read, and a time at which its data was
   * current.
   */
  noteStoreRead(answered: boolean, asOf: Milliseconds): void {
    const { clock, events } = this.#context;
    const now = clock.now();
    const fields = { age_ms: ageField(this.storeAgeMs(now)) };
    if (!answered) {
      if (!this.#isStoreUnavailable) events.note("storeLost", fields);
      this.#isStoreUnavailable = true;
      return;
    }
    if (this.#isStoreUnavailable) {
      events.note("storeBack", fields);
      this.#settledAt = now + SETTLE_MS;
    }
    this.#isStoreUnavailable = false;
    this.#readAt = asOf;
    this.#options.onChange();
  }

  #noteChange(
    change: ListingChange,
    position: Position,
    source: string,
  ): void {
    const { events, pool, crashes } = this.#context;
    const revision = revisionOf(position);
    const removed = new Map(change.removed.map((entry) => [entry.id, entry]));
    for (const { incarnation, id, ...entry } of change.added) {
      const { service, stage, address } = entry;
      const fields = { replica: incarnation, service, stage, address };
      events.note("replicaAdded", { ...fields, revision, source });
      const before = removed.get(id)?.incarnation;
      if (before === undefined) continue;
      events.note("replicaRestarted", { replica: incarnation, before });
    }
    for (const { incarnation } of change.draining) {
      events.note("replicaLeaving", { replica: incarnation, revision, source });
    }
    for (const entry of change.removed) {
      const { incarnation } = entry;
      events.note("replicaRemoved", { replica: incarnation, revision, source });
      pool.removeReplica(incarnation);
      void crashes.noteRemoved(entry);
    }
    const draining = [...change.draining, ...change.added]
      .filter((entry) => entry.leaving);
    this.#options.onDraining(draining.map((entry) => entry.incarnation));
    const count = change.changed.length + change.removed.length;
    if (count > 0) this.#options.onChange();
  }
}

/**
 * The newest version that a report names, with its holder if the reader has it.
 */
function announcementOf(
  { message, address }: ReaderReport,
): VersionAnnouncement {
  const { version, newest } = message;
  if (newest !== undefined && newest > version) return { version: newest };
  return { version, holder: address };
}

/** An age for a log line; undefined if infinite. */
function ageField(age: Milliseconds): number | undefined {
  return Number.isFinite(age) ? Math.round(age) : undefined;
}
