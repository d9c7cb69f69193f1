/**
 * Keeps routes and replicas in step with the store: replicas are listed again
 * and again, the configuration is watched, and when the store does not answer
 * this host, its peers are asked. What was taken never goes back.
 */
import type { Milliseconds } from "../../core/ids.ts";
import { type Clock, sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { Timing } from "../observe/metrics.ts";
import type { ConfigReading, Store } from "../port.ts";
import type { ReplicaListing } from "../replicas/model.ts";
import type { RouteConfig } from "../routing/model.ts";

/** Times of the synchronizer. */
export type SyncTimes = {
  /** Pause between two listings of replicas. */
  readonly listMs: Milliseconds;
  /** Longest wait for an answer of the store. */
  readonly timeoutMs: Milliseconds;
  /** How long the store holds a watch that has nothing to tell. */
  readonly watchMs: Milliseconds;
};

/** Pause after a call to the store failed. */
const FAILED_PAUSE_MS = 250;

/** What a synchronizer is made from. */
export type SyncSource = {
  readonly context: GatewayContext;
  readonly store: Store;
  readonly times: SyncTimes;
  readonly onConfig: (config: RouteConfig) => void;
};

/** The loops that follow the store. */
export class Synchronizer {
  readonly #context: GatewayContext;
  readonly #store: Store;
  readonly #times: SyncTimes;
  readonly #onConfig: (config: RouteConfig) => void;
  #stopped = false;
  #watch = new AbortController();
  /** When the store last answered; undefined before the first answer. */
  #storeOkAt: Milliseconds | undefined;
  #lost = false;

  constructor(source: SyncSource) {
    this.#context = source.context;
    this.#store = source.store;
    this.#times = source.times;
    this.#onConfig = source.onConfig;
  }

  /** How long ago the store last answered; Infinity before the first. */
  storeAgeMs(now: Milliseconds): Milliseconds {
    return this.#storeOkAt === undefined ? Infinity : now - this.#storeOkAt;
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
    this.#onConfig(config);
    return true;
  }

  /** Takes a listing from the store or a peer. */
  takeListing(listing: ReplicaListing, source: string): void {
    const { replicas, events, pool } = this.#context;
    const change = replicas.adopt(listing);
    if (!change) return;
    const { revision } = listing;
    for (const { incarnation, service, stage } of change.added) {
      const fields = { replica: incarnation, service, stage, revision, source };
      events.note("replicaAdded", fields);
    }
    for (const { incarnation } of change.leaving) {
      events.note("replicaLeaving", { replica: incarnation, revision, source });
    }
    for (const { incarnation } of change.removed) {
      events.note("replicaRemoved", { replica: incarnation, revision, source });
      pool.forget(incarnation);
    }
  }

  async #followReplicas(): Promise<void> {
    const { clock } = this.#context;
    while (!this.#stopped) {
      const startedAt = clock.now();
      const listing = await this.#call((signal) =>
        this.#store.readReplicas(signal)
      );
      if (listing) {
        this.takeListing(listing, "store");
        this.#noteStore(true);
      } else this.#noteStore(false);
      const pause = listing ? this.#times.listMs : FAILED_PAUSE_MS;
      const spent = clock.now() - startedAt;
      await sleep(clock, Math.max(FAILED_PAUSE_MS, pause - spent));
    }
  }

  async #followConfig(): Promise<void> {
    const { clock } = this.#context;
    let revision: number | undefined;
    while (!this.#stopped) {
      const reading = await this.#readConfig(revision);
      if (reading?.config) this.takeConfig(reading.config, "store");
      if (!reading) await sleep(clock, FAILED_PAUSE_MS);
      revision = reading?.revision;
    }
  }

  /** Reads the configuration, or watches for the next from `revision` on. */
  async #readConfig(
    revision: number | undefined,
  ): Promise<ConfigReading | undefined> {
    if (revision === undefined) {
      return await this.#call((signal) => this.#store.readConfig(signal));
    }
    this.#watch = new AbortController();
    const watch = this.#watch;
    const { watchMs, timeoutMs } = this.#times;
    const cancel = this.#context.clock.after(
      watchMs + timeoutMs,
      () => watch.abort(),
    );
    try {
      return await this.#store.watchConfig(revision, watchMs, watch.signal);
    } catch {
      return undefined;
    } finally {
      cancel();
    }
  }

  async #call<Value>(
    work: (signal: AbortSignal) => Promise<Value>,
  ): Promise<Value | undefined> {
    const { clock, metrics } = this.#context;
    const startedAt = clock.now();
    const value = await within(clock, this.#times.timeoutMs, work);
    metrics.count(value === undefined ? "store_failures" : "store_calls");
    metrics.time(Timing.storeCall, clock.now() - startedAt);
    return value;
  }

  /** A watch may hang on a dead connection: it is begun anew on return. */
  #noteStore(answered: boolean): void {
    const { clock, events } = this.#context;
    const now = clock.now();
    if (!answered) {
      if (!this.#lost) {
        events.note("storeLost", { age_ms: ageField(this.storeAgeMs(now)) });
      }
      this.#lost = true;
      return;
    }
    if (this.#lost) {
      events.note("storeBack", { age_ms: ageField(this.storeAgeMs(now)) });
      this.#watch.abort();
    }
    this.#lost = false;
    this.#storeOkAt = now;
  }
}

/** An age for a log line; none before the first contact. */
function ageField(age: Milliseconds): number | undefined {
  return Number.isFinite(age) ? Math.round(age) : undefined;
}

/** Runs a call with a time limit; undefined when it fails or takes longer. */
export async function within<Value>(
  clock: Clock,
  timeoutMs: Milliseconds,
  work: (signal: AbortSignal) => Promise<Value>,
): Promise<Value | undefined> {
  const controller = new AbortController();
  const cancel = clock.after(timeoutMs, () => controller.abort());
  try {
    return await work(controller.signal);
  } catch {
    return undefined;
  } finally {
    cancel();
  }
}
