/**
 * Reads the store: replicas are listed again and again, the configuration is
 * watched. A host that another of its hall reads for only looks whether that
 * one's word is still fresh.
 */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { RemoteClock } from "../peers/remote_clock.ts";
import {
  eraOf,
  type Position,
  revisionOf,
  type StorePlace,
} from "../position.ts";
import type { Store } from "../port.ts";
import { ConfigReader } from "./config_reader.ts";
import type { HallFollower } from "./hall_follower.ts";
import { RowFaults } from "./row_faults.ts";
import { StoreCalls } from "./store_calls.ts";
import type { Synchronizer } from "./synchronizer.ts";

/** Times of the loops. */
export type StoreTimes = {
  /** Pause between two listings of replicas. */
  readonly listMs: Milliseconds;
  /** Longest wait for an answer of the store. */
  readonly timeoutMs: Milliseconds;
  /** How long the store holds a watch that has nothing to tell. */
  readonly watchMs: Milliseconds;
};

/** Least pause between two calls of the same kind. */
const LEAST_PAUSE_MS = 250;
/**
 * A host that follows another asks a store that is away ever less often: its
 * reader asks each 250 ms and tells it of the return. Its own calls only find
 * a store that turns the reader away and not this host.
 */
const FOLLOWER_PAUSE_MS = 900;
const LONGEST_FOLLOWER_PAUSE_MS = 3600;
/** Part of a pause that is random, so that hosts don't call in step. */
const PAUSE_SPREAD = 0.4;
/**
 * A starting host that knows whom to follow lists each 1.3 s and not each 0.7 s
 * until it is told: its reader's first word is a few hundred ms away.
 */
const FOLLOWER_LIST_FACTOR = 1.8;
/** Least pause before the freshness of the reader's word is looked at again. */
const LOOK_MS = 50;

/** Replicas that one answer of the store holds. */
const CALL_REPLICAS = 500;
/**
 * The first listing is given time for so many replicas: on a link of 7 Mbit/s
 * 1,000 of them take over half a second, and each host of a fleet that starts
 * lists them at the same time.
 */
const FIRST_LIST_SIZE = 2000;

/** How a reading of the listing went. */
type Reading = "taken" | "older" | "lost";

/** The store's steady clock and its place in one answer. */
type TimedPlace = StorePlace & { readonly nowMs: Milliseconds };

/** What the loops need. */
export type StoreLoopsSource = {
  readonly context: GatewayContext;
  readonly store: Store;
  readonly times: StoreTimes;
  readonly synchronizer: Synchronizer;
  readonly follower: HallFollower;
};

/** The loops of one process. */
export class StoreLoops {
  readonly #source: StoreLoopsSource;
  #stopped = false;
  readonly #calls: StoreCalls;
  readonly #config: ConfigReader;
  readonly #faults: RowFaults;
  /** Listings in a row that did not come. */
  #failures = 0;
  /** The store's steady clock. */
  readonly #storeClock = new RemoteClock();
  /** What was last read from the store was surely true then. */
  #storeAsOf: Milliseconds = 0;
  /** The table has the whole listing, so that changes of it are enough. */
  #isWhole = false;

  constructor(source: StoreLoopsSource) {
    const { context, store, synchronizer, times } = source;
    this.#source = source;
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
    // The clock of a store that came back need not go on where it was.
    context.eras.listen(() => this.forgetClock());
  }

  /** Starts the loops. */
  start(): void {
    void this.#followReplicas();
    void this.#followConfig();
  }

  /** Ends the loops. */
  stop(): void {
    this.#stopped = true;
    this.#config.endWatch();
  }

  /** This host's clock stood still: the store's is read anew with a listing. */
  forgetClock(): void {
    this.#storeClock.forget();
    this.#isWhole = false;
    this.#config.endWatch();
  }

  /** Reads the configuration now; whether the store answered. */
  async readConfig(): Promise<boolean> {
    return await this.#config.read() !== undefined;
  }

  async #followReplicas(): Promise<void> {
    const { context: { clock }, synchronizer } = this.#source;
    while (!this.#stopped) {
      const startedAt = clock.now();
      if (synchronizer.isTold(startedAt)) {
        this.#isWhole = false;
        await this.#sleepWhileTold();
        continue;
      }
      const isWatch = this.#isWhole;
      const answered = await this.#readReplicas();
      const spent = clock.now() - startedAt;
      await sleep(clock, this.#pauseMs({ answered, isWatch, spent }));
    }
  }

  /** Sleeps until the reader's word would be stale if it said no more. */
  async #sleepWhileTold(): Promise<void> {
    const { context: { clock }, synchronizer } = this.#source;
    const freshMs = synchronizer.freshForMs(clock.now());
    await sleep(clock, Math.max(LOOK_MS, freshMs));
  }

  /** A watch has had its pause at the store already. */
  #pauseMs(
    { answered, isWatch, spent }: {
      readonly answered: boolean;
      readonly isWatch: boolean;
      readonly spent: Milliseconds;
    },
  ): Milliseconds {
    if (answered && (isWatch || this.#isWhole)) {
      return Math.max(0, LEAST_PAUSE_MS - spent);
    }
    const pause = answered ? this.#answeredPauseMs() : this.#failedPauseMs();
    const left = Math.max(LEAST_PAUSE_MS, pause - spent);
    const { clock, eras } = this.#source.context;
    const unsettledMs = eras.unsettledForMs(clock.now());
    // Followers wait for the first listing of a settled era.
    return unsettledMs > 0 ? Math.min(left, unsettledMs) : left;
  }

  /** Reads what changed in the listing, or the whole where that isn't enough. */
  async #readReplicas(): Promise<boolean> {
    const { context, synchronizer, follower } = this.#source;
    const read = this.#isWhole
      ? await this.#watchReplicas()
      : await this.#listReplicas();
    const answered = read === "taken";
    if (read !== "older") synchronizer.noteStore(answered, this.#storeAsOf);
    const isSettled = !synchronizer.keepsMissing(context.clock.now());
    this.#isWhole = answered && isSettled && !this.#isFollower;
    // A watch may hang on a dead connection: it is begun anew on return.
    if (answered && this.#failures > 0) this.#config.endWatch();
    this.#failures = answered ? 0 : this.#failures + 1;
    if (answered && !synchronizer.isTold(context.clock.now())) {
      follower.leaveIfStale("The store answers this host, not its reader");
    }
    return answered;
  }

  async #listReplicas(): Promise<Reading> {
    const { context: { clock, eras }, store, synchronizer } = this.#source;
    const askedAt = clock.now();
    const start = eras.start();
    const listing = await this.#calls.read(
      (signal) => store.readReplicas(signal),
      this.#listTimeoutMs(),
    );
    if (!listing) return "lost";
    this.#faults.note(listing.faults);
    const { entries } = listing;
    const revision = eras.place(listing, start);
    // What is older than what is known here says nothing of the present.
    if (!synchronizer.takeListing({ revision, entries }, "store")) {
      this.#noteOlder(listing, revision);
      return "older";
    }
    const echo = { sentAt: askedAt, heardAt: listing.nowMs };
    this.#storeClock.note(echo, clock.now());
    this.#storeAsOf = askedAt;
    return "taken";
  }

  #noteOlder({ revision, nowMs }: TimedPlace, position: Position): void {
    const { replicas, events } = this.#source.context;
    events.note("listingOlder", {
      revision,
      era: eraOf(position),
      held: revisionOf(replicas.revision),
      held_era: eraOf(replicas.revision),
      store_ms: Math.round(nowMs),
    });
  }

  /** A long listing comes in several answers, each with the time of a call. */
  #listTimeoutMs(): Milliseconds {
    const { context: { replicas }, times } = this.#source;
    const size = replicas.revision < 0 ? FIRST_LIST_SIZE : replicas.size;
    return times.timeoutMs * Math.ceil((size + 1) / CALL_REPLICAS);
  }

  /**
   * Asks only for what changed: a listing of 3,000 replicas is more than a
   * megabyte, longer than the call may take on a link of 10 Mbit/s.
   */
  async #watchReplicas(): Promise<Reading> {
    const { context: { clock, replicas, eras }, store, synchronizer, times } =
      this.#source;
    const { listMs, timeoutMs } = times;
    const start = eras.start();
    const since = replicas.revision;
    const from = eras.storePlace(since);
    const read = await this.#calls.read(
      async (signal) =>
        await store.watchReplicas(from, listMs, signal) ?? "forgotten",
      listMs + timeoutMs,
    );
    if (read === undefined) return "lost";
    if (read === "forgotten") return this.#listReplicas();
    this.#faults.note(read.faults);
    const { changed, gone } = read;
    const revision = eras.place(read, start);
    if (eraOf(revision) !== eraOf(since)) return this.#listReplicas();
    if (!synchronizer.takeChanges({ since, revision, changed, gone })) {
      return "older";
    }
    const now = clock.now();
    this.#storeAsOf = this.#storeClock.toLocal(read.nowMs, now) ??
      this.#storeAsOf;
    return "taken";
  }

  get #isFollower(): boolean {
    const { context, follower } = this.#source;
    return follower.reader !== context.self.id;
  }

  /** A follower whose reader has told nothing yet waits for it a little. */
  #answeredPauseMs(): Milliseconds {
    const { listMs } = this.#source.times;
    return this.#isFollower ? listMs * FOLLOWER_LIST_FACTOR : listMs;
  }

  #failedPauseMs(): Milliseconds {
    if (!this.#isFollower) return LEAST_PAUSE_MS;
    const doublings = Math.min(8, Math.max(0, this.#failures - 1));
    const pause = FOLLOWER_PAUSE_MS * 2 ** doublings;
    const spread = 1 + this.#source.context.random() * PAUSE_SPREAD;
    return Math.min(LONGEST_FOLLOWER_PAUSE_MS, pause) * spread;
  }

  async #followConfig(): Promise<void> {
    const { context: { clock, routes }, synchronizer } = this.#source;
    let place: StorePlace | undefined;
    while (!this.#stopped) {
      if (synchronizer.isTold(clock.now())) {
        place = undefined;
        await this.#sleepWhileTold();
        continue;
      }
      // One loop is enough to find out when the store is back.
      if (this.#failures > 0 && routes.config !== undefined) {
        await sleep(clock, LEAST_PAUSE_MS);
        continue;
      }
      const reading = await this.#config.read(place);
      if (!reading) await sleep(clock, this.#failedPauseMs());
      place = reading?.place;
    }
  }
}
