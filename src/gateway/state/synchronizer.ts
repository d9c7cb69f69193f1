/**
 * What this host believes of the store: routes and replicas as they were read
 * here, told by the reader of the hall, or by peers. What was taken never
 * goes back.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { eraOf, type Position, positionOf, revisionOf } from "../position.ts";
import type { ListingChanges, ReplicaListing } from "../replicas/model.ts";
import type { ListingChange } from "../replicas/replica_table.ts";
import type { RouteConfig } from "../routing/model.ts";
import type { VersionNews } from "./config_catchup.ts";
import type { ReaderWord } from "./hall_follower.ts";
import { SETTLE_MS } from "./store_eras.ts";

/** A word of the store that is older than this has to be read anew. */
const FRESH_MS = 1300;
/**
 * The relay of a hall reads anew sooner, so that its followers, who would all
 * call the store at once, hear from it before their own limit. A listing each
 * 700 ms is never that old while its reader is well.
 */
const RELAY_FRESH_MS = 1000;
/** What a synchronizer is made from. */
export type SyncSource = {
  readonly context: GatewayContext;
  readonly onConfig: (config: RouteConfig) => void;
  /** There is a version that this host does not hold. */
  readonly onNews: (news: VersionNews) => void;
  /** Routes or replicas have changed, or there is a newer word of the store. */
  readonly onChange: () => void;
  /** Replicas leave, as a listing says that this host has just taken. */
  readonly onLeaving: (incarnations: readonly string[]) => void;
  /** This host relays the word of the store to its hall. */
  readonly isRelay: () => boolean;
};

/** What the reader of the hall has told. */
type Told = {
  readonly asOf: Milliseconds;
};

/** Takes state from wherever it comes, and knows how old it is. */
export class Synchronizer {
  readonly #context: GatewayContext;
  readonly #source: SyncSource;
  /** When the store was last asked with success; undefined before. */
  #readAt: Milliseconds | undefined;
  #told: Told | undefined;
  /** No configuration newer than ours was in the store then. */
  #configAsOf: Milliseconds = -Infinity;
  #lost = false;
  #settledAt: Milliseconds = 0;

  constructor(source: SyncSource) {
    this.#context = source.context;
    this.#source = source;
  }

  /** Age of the newest answer of the store; Infinity before the first. */
  storeAgeMs(now: Milliseconds): Milliseconds {
    const asOf = Math.max(this.#readAt ?? -1, this.#told?.asOf ?? -1);
    return asOf < 0 ? Infinity : now - asOf;
  }

  /**
   * Age of the newest answer that no newer configuration than ours was in the
   * store; Infinity before the first.
   */
  configAgeMs(now: Milliseconds): Milliseconds {
    return now - this.#configAsOf;
  }

  /**
   * The machine was suspended, so all words of the store are older than they
   * seem: none of them counts as a word any more.
   */
  forgetAges(forMs: Milliseconds): void {
    this.#context.events.note("suspended", { for_ms: Math.round(forMs) });
    this.#readAt = undefined;
    this.#told = undefined;
    this.#configAsOf = -Infinity;
  }

  /**
   * The store had no newer version than this at `asOf`, by this host's clock:
   * a moment that surely lies before the store was read.
   */
  noteNewest(version: number, asOf: Milliseconds): void {
    if (version > this.#context.routes.version) return;
    this.#configAsOf = Math.max(this.#configAsOf, asOf);
  }

  /**
   * What followers may be told. After the store was away, nothing for a while: a
   * follower whom it served all the time knows better. Nor by a host that has
   * only seen the store as it came back from a copy. One that has known it before
   * tells on: its followers need not list the replicas all at once.
   */
  tellableAgeMs(now: Milliseconds): Milliseconds {
    const isSilent = this.#wasAway(now) ||
      this.#context.eras.isUnproven(now);
    return isSilent ? Infinity : this.storeAgeMs(now);
  }

  /** The store was away until just now: it may lack live replicas. */
  keepsMissing(now: Milliseconds): boolean {
    return this.#wasAway(now) || !this.#context.eras.isSettled(now);
  }

  #wasAway(now: Milliseconds): boolean {
    return this.#lost || now < this.#settledAt;
  }

  /** The reader's report is fresh: this host need not read the store. */
  isTold(now: Milliseconds): boolean {
    return this.freshForMs(now) > 0;
  }

  /** How long the reader's report stays fresh if it says no more; at least 0. */
  freshForMs(now: Milliseconds): Milliseconds {
    if (this.#told === undefined) return 0;
    const freshMs = this.#source.isRelay() ? RELAY_FRESH_MS : FRESH_MS;
    return Math.max(0, this.#told.asOf + freshMs - now);
  }

  /** Takes a configuration from the store or a peer. */
  takeConfig(config: RouteConfig, source: string): boolean {
    const { routes, events } = this.#context;
    const before = routes.version;
    if (!routes.adopt(config)) return false;
    events.note("configAdopted", {
      version: config.version,
      before,
      routes: config.routes.length,
      source,
    });
    this.#source.onConfig(config);
    this.#source.onChange();
    return true;
  }

  /**
   * Somebody has heard of a version. What is news here is told on at once, also
   * by a host that can't have the version itself.
   */
  noteHeard(news: VersionNews, source: string): void {
    const { routes, events } = this.#context;
    const { version } = news;
    if (version <= routes.version) return;
    const isNews = routes.noteVersion(version);
    this.#source.onNews(news);
    if (!isNews) return;
    events.note("configHeard", { version, held: routes.version, source });
    this.#source.onChange();
  }

  /** Takes a listing from a peer, or from the store; false: it is older. */
  takeListing(listing: ReplicaListing, source: string): boolean {
    const { clock, eras, replicas } = this.#context;
    const now = clock.now();
    eras.hear(listing.revision, now);
    if (eraOf(listing.revision) < eras.era) return false;
    const change = replicas.adopt(listing, {
      keepMissing: this.keepsMissing(now),
      leaveOutGone: !eras.isSettled(now),
    });
    if (change) this.#noteChange(change, listing.revision, source);
    return change !== undefined;
  }

  /** Takes changes of the listing that the store told; false: older ones. */
  takeChanges(changes: ListingChanges): boolean {
    const { clock, eras, replicas } = this.#context;
    eras.hear(changes.revision, clock.now());
    if (eraOf(changes.revision) < eras.era) return false;
    const change = replicas.change(changes);
    if (change) this.#noteChange(change, changes.revision, "store");
    return change !== undefined;
  }

  /** Takes the report of the hall's reader; false: its listing has a gap. */
  takeState(word: ReaderWord): boolean {
    const { message, reader, configAsOf } = word;
    const { clock, replicas, eras } = this.#context;
    const now = clock.now();
    const { listing, ageMs, era } = message;
    if (message.config) this.takeConfig(message.config, reader);
    if (configAsOf !== undefined) this.noteNewest(message.version, configAsOf);
    this.noteHeard(newsOf(word), reader);
    if (era !== undefined) {
      const isSettled = ageMs !== undefined && message.isSettling !== true;
      eras.hear(positionOf(era, 0), now, { isSettled });
    }
    // A word of an earlier era is no word of the store as it is now.
    if ((era ?? 0) < eras.era) return true;
    const change = listing ? replicas.follow(listing) : undefined;
    if (change === "gap") return false;
    if (listing && change && change !== "older") {
      this.#noteChange(change, listing.revision, reader);
    }
    if (ageMs === undefined) return true;
    const before = this.storeAgeMs(now);
    const asOf = Math.max(this.#told?.asOf ?? -Infinity, now - ageMs);
    this.#told = { asOf };
    if (ageMs < before) this.#source.onChange();
    return true;
  }

  /**
   * Whether the store answered, and a moment at which what it told was surely
   * true.
   */
  noteStore(answered: boolean, asOf: Milliseconds): void {
    const { clock, events } = this.#context;
    const now = clock.now();
    const fields = { age_ms: ageField(this.storeAgeMs(now)) };
    if (!answered) {
      if (!this.#lost) events.note("storeLost", fields);
      this.#lost = true;
      return;
    }
    if (this.#lost) {
      events.note("storeBack", fields);
      this.#settledAt = now + SETTLE_MS;
    }
    this.#lost = false;
    this.#readAt = asOf;
    this.#source.onChange();
  }

  #noteChange(
    change: ListingChange,
    position: Position,
    source: string,
  ): void {
    const { events, pool, crashes } = this.#context;
    const revision = revisionOf(position);
    const gone = new Map(change.removed.map((one) => [one.id, one]));
    for (const { incarnation, id, ...entry } of change.added) {
      const { service, stage, address } = entry;
      const fields = { replica: incarnation, service, stage, address };
      events.note("replicaAdded", { ...fields, revision, source });
      const before = gone.get(id)?.incarnation;
      if (before === undefined) continue;
      events.note("replicaRestarted", { replica: incarnation, before });
    }
    for (const { incarnation } of change.leaving) {
      events.note("replicaLeaving", { replica: incarnation, revision, source });
    }
    for (const entry of change.removed) {
      const { incarnation } = entry;
      events.note("replicaRemoved", { replica: incarnation, revision, source });
      pool.forget(incarnation);
      crashes.gone(entry);
    }
    const leaving = [...change.leaving, ...change.added]
      .filter((one) => one.leaving);
    this.#source.onLeaving(leaving.map((one) => one.incarnation));
    const count = change.renewed.length + change.removed.length;
    if (count > 0) this.#source.onChange();
  }
}

/** The newest version that a reader knows of, and whether it holds it. */
function newsOf({ message, address }: ReaderWord): VersionNews {
  const { version, newest } = message;
  if (newest !== undefined && newest > version) return { version: newest };
  return { version, holder: address };
}

/** An age for a log line; none before the first contact. */
function ageField(age: Milliseconds): number | undefined {
  return Number.isFinite(age) ? Math.round(age) : undefined;
}
