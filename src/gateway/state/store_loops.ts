/**
 * Reads replicas and configuration from the store. A host that follows a reader
 * makes no calls as long as the reader's reports are fresh.
 */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { keepRunning } from "../keep_running.ts";
import { RemoteClock } from "../peers/remote_clock.ts";
import {
  eraOf,
  type Position,
  revisionOf,
  type StorePosition,
} from "../position.ts";
import type { Store, StoreChanges } from "../port.ts";
import { ConfigReader } from "./config_reader.ts";
import { awaitFirstListing } from "./first_listing.ts";
import type { HallFollower } from "./hall_follower.ts";
import { RowFaults } from "./row_faults.ts";
import { SharedRead } from "./shared_read.ts";
import { StoreCalls } from "./store_calls.ts";
import {
  followerBackoffMs,
  listTimeoutMs,
  type StoreTimes,
} from "./store_times.ts";
import type { Synchronizer } from "./synchronizer.ts";

/** The store responds at once, with the changes that there are. */
const CATCH_UP_WAIT_MS = 1;
/** Minimum interval between two calls of the same kind. */
const MIN_CALL_INTERVAL_MS = 250;
/**
 * Factor on the listing interval of a follower that has no fresh report, such
 * as a starting host that waits for the first one.
 */
const FOLLOWER_LIST_FACTOR = 1.8;
/**
 * Minimum interval at which the freshness of the reader's report is checked.
 */
const MIN_CHECK_INTERVAL_MS = 50;

/** Outcome of reading the listing. */
type ReadOutcome = "applied" | "older" | "failed";

/** The store's steady clock and position in one response. */
type TimedPosition = StorePosition & { readonly nowMs: Milliseconds };

/** Options of {@link StoreLoops}. */
export type StoreLoopsOptions = {
  readonly context: GatewayContext;
  readonly store: Store;
  readonly times: StoreTimes;
  readonly synchronizer: Synchronizer;
  readonly follower: HallFollower;
  /** Number of known hosts, including this one. */
  readonly fleetSize: () => number;
};

/** Reads the store for as long as the process runs. */
export class StoreLoops {
  readonly #options: StoreLoopsOptions;
  #isStopped = false;
  readonly #calls: StoreCalls;
  readonly #config: ConfigReader;
  readonly #faults: RowFaults;
  /** Consecutive failed listings. */
  #failures = 0;
  /** The store's steady clock. */
  readonly #storeClock = new RemoteClock();
  /** Time at which the data last read from the store was current. */
  #storeAsOf: Milliseconds = 0;
  /**
   * Whether the table has the full listing, so that reading changes suffices.
   */
  #hasFullListing = false;
  readonly #confirmation: SharedRead<boolean>;

  constructor(options: StoreLoopsOptions) {
    const { context, store, synchronizer, times } = options;
    this.#options = options;
    this.#faults = new RowFaults(context.events);
    this.#calls = new StoreCalls(context);
    this.#config = new ConfigReader({
      context,
      store,
      calls: this.#calls,
      synchronizer,
      timeoutMs: times.timeoutMs,
      watchMs: times.watchMs,
    });
    this.#confirmation = new SharedRead(() => this.#confirm());
    // The clock of a restored store may be a different one.
    context.eras.listen(() => this.resetClock());
  }

  start(): void {
    const { context } = this.#options;
    void keepRunning(() => this.#followReplicas(), context);
    void keepRunning(() => this.#followConfig(), context);
  }

  stop(): void {
    this.#isStopped = true;
    this.#config.endWatch();
  }

  /**
   * Discards the store's clock offset after a suspension or a restore; the next
   * full listing determines it again.
   */
  resetClock(): void {
    this.#storeClock.reset();
    this.#hasFullListing = false;
    this.#config.endWatch();
  }

  /** Reads the configuration now; resolves with whether the store responded. */
  async readConfig(): Promise<boolean> {
    return await this.#config.read() !== undefined;
  }

  /**
   * Reads the listing, whatever the reader reports: a report may have been
   * buffered for long. Resolves to whether the read, which calls at about the
   * same time share, has succeeded.
   */
  confirmListing(): Promise<boolean> {
    return this.#confirmation.get(this.#options.context.clock.now());
  }

  async #confirm(): Promise<boolean> {
    const outcome = this.#canCatchUp ? await this.#catchUp() : "older";
    // The table has changed meanwhile, or takes no changes.
    if (outcome !== "older") return outcome === "applied";
    return await this.#listReplicas() === "applied";
  }

  async #followReplicas(): Promise<void> {
    const { context, synchronizer, follower, fleetSize } = this.#options;
    const { clock } = context;
    const isStopped = () => this.#isStopped;
    await awaitFirstListing({ context, follower, fleetSize, isStopped });
    while (!this.#isStopped) {
      const startedAt = clock.now();
      if (synchronizer.hasFreshReport(startedAt)) {
        this.#hasFullListing = false;
        await this.#sleepWhileFresh();
        continue;
      }
      const isWatch = this.#hasFullListing;
      const answered = await this.#readReplicas();
      const spentMs = clock.now() - startedAt;
      await sleep(clock, this.#nextDelayMs({ answered, isWatch, spentMs }));
    }
  }

  /** Sleeps until the reader's last report expires. */
  async #sleepWhileFresh(): Promise<void> {
    const { context: { clock }, synchronizer } = this.#options;
    const freshMs = synchronizer.freshForMs(clock.now());
    await sleep(clock, Math.max(MIN_CHECK_INTERVAL_MS, freshMs));
  }

  /** Delay before the next read. A watch has already waited at the store. */
  #nextDelayMs(
    { answered, isWatch, spentMs }: {
      readonly answered: boolean;
      readonly isWatch: boolean;
      readonly spentMs: Milliseconds;
    },
  ): Milliseconds {
    if (answered && (isWatch || this.#hasFullListing)) {
      return Math.max(0, MIN_CALL_INTERVAL_MS - spentMs);
    }
    const delayMs = answered ? this.#listDelayMs() : this.#failureBackoffMs();
    const leftMs = Math.max(MIN_CALL_INTERVAL_MS, delayMs - spentMs);
    const { clock, eras } = this.#options.context;
    const unsettledMs = eras.unsettledForMs(clock.now());
    // Lists as soon as the era is settled, since followers wait for that
    // listing. Timers drop fractions, and an earlier listing would be inexact.
    return unsettledMs > 0 ? Math.min(leftMs, Math.ceil(unsettledMs)) : leftMs;
  }

  /**
   * Reads the changes of the listing, or the full listing if that isn't enough.
   */
  async #readReplicas(): Promise<boolean> {
    const { context, synchronizer, follower } = this.#options;
    const outcome = await this.#readOnce();
    const answered = outcome === "applied";
    if (outcome !== "older") {
      synchronizer.noteStoreRead(answered, this.#storeAsOf);
    }
    const isSettled = !synchronizer.retainsMissing(context.clock.now());
    // The store may have settled after the listing was applied, so that the
    // table still has replicas that the store lacks.
    const isBase = isSettled && context.replicas.isVerified;
    this.#hasFullListing = answered && isBase && !this.#isFollower;
    // The watch may hang on a dead connection and is restarted.
    if (answered && this.#failures > 0) this.#config.endWatch();
    this.#failures = answered ? 0 : this.#failures + 1;
    // A reader that the store has just served again reports no age yet.
    const lacksReport = !synchronizer.hasFreshReport(context.clock.now());
    if (answered && isSettled && lacksReport) {
      follower.leaveIfStale("The store answers this host, not its reader");
    }
    return answered;
  }

  async #readOnce(): Promise<ReadOutcome> {
    if (this.#hasFullListing) return await this.#watchReplicas();
    if (this.#canCatchUp) return await this.#catchUp();
    return await this.#listReplicas();
  }

  /**
   * Whether the changes since the last report suffice. All followers of a
   * reader that is lost read the store at the same time, and together would
   * exceed its limit of calls with full listings.
   */
  get #canCatchUp(): boolean {
    const { replicas } = this.#options.context;
    const isBase = replicas.isVerified || !this.#isReader;
    return replicas.revision >= 0 && replicas.isExact && isBase;
  }

  /**
   * Reads the changes since the last report or listing, without waiting. After
   * an outage or a restore, replicas may have to be retained or excluded, which
   * takes a listing.
   */
  async #catchUp(): Promise<ReadOutcome> {
    const { context: { clock, eras }, synchronizer } = this.#options;
    const requestedAt = clock.now();
    const read = await this.#readChanges(CATCH_UP_WAIT_MS, {
      isUsable: ({ changed, gone }) =>
        (gone.length === 0 || !synchronizer.retainsMissing(clock.now())) &&
        (changed.length === 0 || eras.isSettled(clock.now())),
    });
    if (typeof read === "string") return read;
    this.#noteStoreTime(requestedAt, read.nowMs);
    return "applied";
  }

  async #listReplicas(): Promise<ReadOutcome> {
    const { context: { clock, eras, replicas }, store, synchronizer, times } =
      this.#options;
    const requestedAt = clock.now();
    const start = eras.beginCall();
    const listing = await this.#calls.read(
      (signal) => store.readReplicas(signal),
      listTimeoutMs(replicas, times.timeoutMs),
    );
    if (!listing) return "failed";
    this.#faults.note(listing.faults);
    const { entries } = listing;
    const revision = eras.resolvePosition(listing, start);
    // A listing older than the local state does not count as a read.
    if (!synchronizer.applyListing({ revision, entries }, "store")) {
      this.#noteOlder(listing, revision);
      return "older";
    }
    this.#noteStoreTime(requestedAt, listing.nowMs);
    return "applied";
  }

  /** Records when a read began, and the store's clock in its response. */
  #noteStoreTime(requestedAt: Milliseconds, heardAt: Milliseconds): void {
    const echo = { sentAt: requestedAt, heardAt };
    this.#storeClock.note(echo, this.#options.context.clock.now());
    this.#storeAsOf = requestedAt;
  }

  #noteOlder({ revision, nowMs }: TimedPosition, position: Position): void {
    const { replicas, events } = this.#options.context;
    events.note("listingOlder", {
      revision,
      era: eraOf(position),
      held: revisionOf(replicas.revision),
      held_era: eraOf(replicas.revision),
      store_ms: Math.round(nowMs),
    });
  }

  /**
   * Reads only the changes: a full listing of a large fleet may take longer
   * than the call's timeout on a slow link.
   */
  async #watchReplicas(): Promise<ReadOutcome> {
    const { context: { clock }, times } = this.#options;
    const read = await this.#readChanges(times.listMs);
    if (typeof read === "string") return read;
    this.#storeAsOf = this.#storeClock.toLocal(read.nowMs, clock.now()) ??
      this.#storeAsOf;
    return "applied";
  }

  /**
   * Reads and applies the changes since the table's position; lists the
   * replicas if the store no longer has them, or they aren't usable.
   */
  async #readChanges(
    waitMs: Milliseconds,
    { isUsable }: {
      readonly isUsable: (changes: StoreChanges) => boolean;
    } = { isUsable: () => true },
  ): Promise<TimedPosition | ReadOutcome> {
    const { context: { replicas, eras }, store, synchronizer, times } =
      this.#options;
    const start = eras.beginCall();
    const since = replicas.revision;
    const from = eras.toStorePosition(since);
    const read = await this.#calls.read(
      async (signal) =>
        await store.watchReplicas(from, waitMs, signal) ?? "historyLost",
      waitMs + times.timeoutMs,
    );
    if (read === undefined) return "failed";
    if (read === "historyLost" || !isUsable(read)) return this.#listReplicas();
    this.#faults.note(read.faults);
    const { changed, gone } = read;
    const revision = eras.resolvePosition(read, start);
    if (eraOf(revision) !== eraOf(since)) return this.#listReplicas();
    const changes = { since, revision, changed, gone };
    return synchronizer.applyChanges(changes) ? read : "older";
  }

  get #isFollower(): boolean {
    const { context, follower } = this.#options;
    return follower.reader !== context.self.id;
  }

  /** Whether this host follows no other, and is not about to. */
  get #isReader(): boolean {
    return !this.#isFollower && !this.#options.follower.isChangingReader;
  }

  /** A follower lists less often, since a report of its reader is likely. */
  #listDelayMs(): Milliseconds {
    const { listMs } = this.#options.times;
    return this.#isFollower ? listMs * FOLLOWER_LIST_FACTOR : listMs;
  }

  #failureBackoffMs(): Milliseconds {
    if (this.#isReader) return MIN_CALL_INTERVAL_MS;
    return followerBackoffMs(this.#failures, this.#options.context.random);
  }

  async #followConfig(): Promise<void> {
    const { context: { clock, routes }, synchronizer } = this.#options;
    let position: StorePosition | undefined;
    while (!this.#isStopped) {
      if (synchronizer.hasFreshReport(clock.now())) {
        position = undefined;
        await this.#sleepWhileFresh();
        continue;
      }
      // The loop for replicas detects when the store is available again.
      if (this.#failures > 0 && routes.config !== undefined) {
        await sleep(clock, MIN_CALL_INTERVAL_MS);
        continue;
      }
      const reading = await this.#config.read(position);
      if (!reading) await sleep(clock, this.#failureBackoffMs());
      position = reading?.position;
    }
  }
}
