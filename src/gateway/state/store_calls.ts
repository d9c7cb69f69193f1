/**
 * Calls to the store: limited in time, counted, and dropped where the machine was
 * suspended meanwhile.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { Timing } from "../observe/metrics.ts";
import { within } from "./within.ts";

/** What the calls need. */
export type StoreCallsSource = Pick<
  GatewayContext,
  "clock" | "events" | "metrics" | "suspensions"
>;

/** Makes calls to the store. */
export class StoreCalls {
  readonly #source: StoreCallsSource;

  constructor(source: StoreCallsSource) {
    this.#source = source;
  }

  /** Reads something; undefined where no good answer came in time. */
  async read<Value>(
    work: (signal: AbortSignal) => Promise<Value>,
    timeoutMs: Milliseconds,
  ): Promise<Value | undefined> {
    const { clock, metrics } = this.#source;
    const startedAt = clock.now();
    const value = await this.#awake(() =>
      within({
        clock,
        timeoutMs,
        work,
        onFault: (reason) => this.#noteFault("read", reason),
      })
    );
    metrics.count(value === undefined ? "store_failures" : "store_calls");
    metrics.time(Timing.storeCall, clock.now() - startedAt);
    return value;
  }

  /** Holds a watch that `watch` can end; undefined as with {@link read}. */
  async watch<Value>(
    work: (signal: AbortSignal) => Promise<Value>,
    { watch, timeoutMs }: {
      readonly watch: AbortController;
      readonly timeoutMs: Milliseconds;
    },
  ): Promise<Value | undefined> {
    const cancel = this.#source.clock.after(timeoutMs, () => watch.abort());
    try {
      return await this.#awake(() => work(watch.signal));
    } catch (error) {
      this.#noteFault("watch", String(error));
      return undefined;
    } finally {
      cancel();
    }
  }

  /** What was answered before this host slept says nothing of the present. */
  async #awake<Value>(
    work: () => Promise<Value>,
  ): Promise<Value | undefined> {
    const { suspensions } = this.#source;
    const suspended = suspensions.check();
    const value = await work();
    return suspensions.check() === suspended ? value : undefined;
  }

  #noteFault(call: string, reason: string): void {
    this.#source.events.note("callFailed", { call, reason });
  }
}
