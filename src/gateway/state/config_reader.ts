/** Reads the store's configuration and records how fresh the local one is. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { eraOf, type Position, type StorePosition } from "../position.ts";
import type { ConfigReading, Store } from "../port.ts";
import type { StoreCalls } from "./store_calls.ts";
import type { CallStart } from "./store_eras.ts";
import type { Synchronizer } from "./synchronizer.ts";

/** Options of {@link ConfigReader}. */
export type ConfigReaderOptions = {
  readonly context: Pick<GatewayContext, "clock" | "eras" | "routes">;
  readonly store: Store;
  readonly calls: StoreCalls;
  readonly synchronizer: Synchronizer;
  /** Timeout of a call to the store. */
  readonly timeoutMs: Milliseconds;
  /** Time after which the store ends a watch without changes. */
  readonly watchMs: Milliseconds;
};

/** Reads the full configuration, or watches it for changes. */
export class ConfigReader {
  readonly #options: ConfigReaderOptions;
  #watch = new AbortController();
  /** The store's version at the newest position read; 0: none in this era. */
  #storeVersion = 0;
  /** Position of the newest response; -1: none in this era. */
  #position: Position = -1;

  constructor(options: ConfigReaderOptions) {
    this.#options = options;
    options.context.eras.listen(() => {
      this.#storeVersion = 0;
      this.#position = -1;
      this.endWatch();
    });
  }

  /**
   * Aborts the open watch, which may hang on a dead connection or start at a
   * position that no longer exists.
   */
  endWatch(): void {
    this.#watch.abort();
  }

  /**
   * Reads the configuration, or watches for changes after `from`. Resolves with
   * undefined if the call failed. A reading without a position requires a full
   * read next.
   */
  async read(from?: StorePosition): Promise<ConfigReading | undefined> {
    const { context: { clock, eras }, synchronizer } = this.#options;
    const requestedAt = clock.now();
    const start = eras.beginCall();
    const reading = await this.#request(from);
    if (reading?.config) synchronizer.applyConfig(reading.config, "store");
    if (!reading?.position) return reading;
    const position = eras.resolvePosition(reading.position, start);
    eras.observe(position, clock.now());
    if (this.#isOfAnotherEra(position, { start, from })) return {};
    // Of two calls at the same time the earlier response may arrive last.
    if (position >= this.#position) {
      this.#position = position;
      if (reading.config) this.#storeVersion = reading.config.version;
      else if (from === undefined) this.#storeVersion = 0;
    }
    this.#noteNewest(requestedAt);
    return reading;
  }

  async #request(
    from: StorePosition | undefined,
  ): Promise<ConfigReading | undefined> {
    const { store, calls, timeoutMs, watchMs } = this.#options;
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
   * Whether a response does not apply to the current era: it is from an earlier
   * one, or lists changes after a position of another era.
   */
  #isOfAnotherEra(
    position: Position,
    { start, from }: {
      readonly start: CallStart;
      readonly from: StorePosition | undefined;
    },
  ): boolean {
    const era = eraOf(position);
    if (era < this.#options.context.eras.era) return true;
    return from !== undefined && era !== eraOf(start.newest);
  }

  /**
   * Records that the local version was the newest one at `requestedAt`. Does
   * nothing while the era is unsettled or the store lacks the local version:
   * the store may then lack newer versions, too.
   */
  #noteNewest(requestedAt: Milliseconds): void {
    const { context: { routes, eras }, synchronizer } = this.#options;
    const hasLocalVersion = this.#storeVersion === routes.version;
    if (!hasLocalVersion || !eras.isSettled(requestedAt)) return;
    synchronizer.noteNewest(routes.version, requestedAt);
  }
}
