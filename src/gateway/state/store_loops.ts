/**
 * Reads the store: replicas are listed again and again, the configuration is
 * watched. A host that another of its hall reads for only looks whether that
 * one's word is still fresh, and reads a configuration that it hears of.
 */
import type { Milliseconds } from "../../core/ids.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { Timing } from "../observe/metrics.ts";
import type { ConfigReading, Store } from "../port.ts";
import type { HallFollower } from "./hall_follower.ts";
import type { Synchronizer } from "./synchronizer.ts";
import { within } from "./within.ts";

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
/** A host that is not its hall's reader asks a store that is away so often. */
const FOLLOWER_PAUSE_MS = 900;
const FOLLOWER_SPREAD_MS = 400;
/** Of configurations in quick succession a follower skips some. */
const NEWER_PAUSE_MS = 300;
/** Least pause before the freshness of the reader's word is looked at again. */
const LOOK_MS = 50;

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
  #watch = new AbortController();
  #readingConfig = false;
  /** When a follower last read a configuration that it had heard of. */
  #newerAt: Milliseconds = -Infinity;
  /** The last listing did not come. */
  #lost = false;

  constructor(source: StoreLoopsSource) {
    this.#source = source;
  }

  /** Starts the loops. */
  start(): void {
    void this.#followReplicas();
    void this.#followConfig();
  }

  /** Ends the loops. */
  stop(): void {
    this.#stopped = true;
    this.#watch.abort();
  }

  /**
   * Reads the configuration: there is a newer one. What is skipped here is
   * read at the next word of the reader.
   */
  async readNewer(): Promise<void> {
    const now = this.#source.context.clock.now();
    if (this.#readingConfig || now - this.#newerAt < NEWER_PAUSE_MS) return;
    this.#readingConfig = true;
    this.#newerAt = now;
    await this.#readConfig(undefined);
    this.#readingConfig = false;
  }

  async #followReplicas(): Promise<void> {
    const { context: { clock }, synchronizer, times } = this.#source;
    while (!this.#stopped) {
      const startedAt = clock.now();
      if (synchronizer.isTold(startedAt)) {
        await this.#sleepWhileTold();
        continue;
      }
      const answered = await this.#readReplicas();
      const pause = answered ? times.listMs : this.#failedPauseMs();
      const spent = clock.now() - startedAt;
      await sleep(clock, Math.max(LEAST_PAUSE_MS, pause - spent));
    }
  }

  /** Sleeps until the reader's word would be stale if it said no more. */
  async #sleepWhileTold(): Promise<void> {
    const { context: { clock }, synchronizer } = this.#source;
    const freshMs = synchronizer.freshForMs(clock.now());
    await sleep(clock, Math.max(LOOK_MS, freshMs));
  }

  async #readReplicas(): Promise<boolean> {
    const { context, store, synchronizer, follower } = this.#source;
    const askedAt = context.clock.now();
    const listing = await this.#call((signal) => store.readReplicas(signal));
    // What is older than what is known here says nothing of the present.
    const answered = listing !== undefined &&
      synchronizer.takeListing(listing, "store");
    if (listing === undefined || answered) {
      synchronizer.noteStore(answered, askedAt);
    }
    // A watch may hang on a dead connection: it is begun anew on return.
    if (answered && this.#lost) this.#watch.abort();
    this.#lost = !answered;
    if (answered && !synchronizer.isTold(context.clock.now())) {
      follower.leaveIfStale("The store answers this host, not its reader");
    }
    return answered;
  }

  #failedPauseMs(): Milliseconds {
    const { context, follower } = this.#source;
    if (follower.reader === context.self.id) return LEAST_PAUSE_MS;
    return FOLLOWER_PAUSE_MS + context.random() * FOLLOWER_SPREAD_MS;
  }

  async #followConfig(): Promise<void> {
    const { context: { clock }, synchronizer } = this.#source;
    let revision: number | undefined;
    while (!this.#stopped) {
      if (synchronizer.isTold(clock.now())) {
        revision = undefined;
        await this.#sleepWhileTold();
        continue;
      }
      const reading = await this.#readConfig(revision);
      if (!reading) await sleep(clock, this.#failedPauseMs());
      revision = reading?.revision;
    }
  }

  /** Reads the configuration, or watches for the next from `revision` on. */
  async #readConfig(
    revision: number | undefined,
  ): Promise<ConfigReading | undefined> {
    const { store, synchronizer } = this.#source;
    const reading = revision === undefined
      ? await this.#call((signal) => store.readConfig(signal))
      : await this.#watchConfig(revision);
    if (reading?.config) synchronizer.takeConfig(reading.config, "store");
    return reading;
  }

  async #watchConfig(revision: number): Promise<ConfigReading | undefined> {
    const { context: { clock }, store, times } = this.#source;
    this.#watch = new AbortController();
    const watch = this.#watch;
    const { watchMs, timeoutMs } = times;
    const cancel = clock.after(watchMs + timeoutMs, () => watch.abort());
    try {
      return await store.watchConfig(revision, watchMs, watch.signal);
    } catch {
      return undefined;
    } finally {
      cancel();
    }
  }

  async #call<Value>(
    work: (signal: AbortSignal) => Promise<Value>,
  ): Promise<Value | undefined> {
    const { context: { clock, metrics }, times } = this.#source;
    const startedAt = clock.now();
    const value = await within(clock, times.timeoutMs, work);
    metrics.count(value === undefined ? "store_failures" : "store_calls");
    metrics.time(Timing.storeCall, clock.now() - startedAt);
    return value;
  }
}
