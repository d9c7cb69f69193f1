/** Reads the store's configuration, and says how fresh the one in force is. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { eraOf, type Position, type StorePlace } from "../position.ts";
import type { ConfigReading, Store } from "../port.ts";
import type { StoreCalls } from "./store_calls.ts";
import type { CallStart } from "./store_eras.ts";
import type { Synchronizer } from "./synchronizer.ts";

/** What a reader is made from. */
export type ConfigReaderSource = {
  readonly context: Pick<GatewayContext, "clock" | "eras" | "routes">;
  readonly store: Store;
  readonly calls: StoreCalls;
  readonly synchronizer: Synchronizer;
  /** Longest wait for an answer of the store. */
  readonly timeoutMs: Milliseconds;
  /** How long the store holds a watch that has nothing to tell. */
  readonly watchMs: Milliseconds;
};

/** Reads whole or watches on. */
export class ConfigReader {
  readonly #source: ConfigReaderSource;
  #watch = new AbortController();
  /** Version that the store was last seen with; 0: none in this era. */
  #storeVersion = 0;

  constructor(source: ConfigReaderSource) {
    this.#source = source;
    source.context.eras.listen(() => {
      this.#storeVersion = 0;
      this.endWatch();
    });
  }

  /** A watch that is held ends: it may hang, or begin at a place that is gone. */
  endWatch(): void {
    this.#watch.abort();
  }

  /**
   * Reads the configuration, or watches for the next from a place on. Undefined:
   * no good answer came. Without a place: to be read whole.
   */
  async read(from?: StorePlace): Promise<ConfigReading | undefined> {
    const { context: { clock, eras }, synchronizer } = this.#source;
    const askedAt = clock.now();
    const start = eras.start();
    const reading = await this.#call(from);
    if (reading?.config) synchronizer.takeConfig(reading.config, "store");
    if (!reading?.place) return reading;
    const position = eras.place(reading.place, start);
    eras.hear(position, clock.now());
    if (this.#isOfAnotherEra(position, { start, from })) return {};
    if (reading.config) this.#storeVersion = reading.config.version;
    else if (from === undefined) this.#storeVersion = 0;
    this.#noteNewest(askedAt);
    return reading;
  }

  async #call(
    from: StorePlace | undefined,
  ): Promise<ConfigReading | undefined> {
    const { store, calls, timeoutMs, watchMs } = this.#source;
    if (!from) {
      return await calls.read((signal) => store.readConfig(signal), timeoutMs);
    }
    this.#watch = new AbortController();
    return await calls.watch(
      (signal) => store.watchConfig(from, watchMs, signal),
      { watch: this.#watch, timeoutMs: watchMs + timeoutMs },
    );
  }

  /**
   * A late answer of an earlier era doesn't say what is there now, nor do changes
   * after a place that isn't in the history of this one.
   */
  #isOfAnotherEra(
    position: Position,
    { start, from }: {
      readonly start: CallStart;
      readonly from: StorePlace | undefined;
    },
  ): boolean {
    const era = eraOf(position);
    if (era < this.#source.context.eras.era) return true;
    return from !== undefined && era !== eraOf(start.newest);
  }

  /**
   * The store had no newer version than ours, unless it lacks ours: then newer
   * ones may be lacking, too, until they are written again.
   */
  #noteNewest(askedAt: Milliseconds): void {
    const { context: { routes, eras }, synchronizer } = this.#source;
    const hasOurs = this.#storeVersion === routes.version;
    if (!hasOurs || !eras.isSettled(askedAt)) return;
    synchronizer.noteNewest(routes.version, askedAt);
  }
}
