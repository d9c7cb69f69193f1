/**
 * Calls to the store, with timeouts and metrics. Discards the response of a
 * call during which the machine was suspended.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { Timing } from "../observe/metrics.ts";
import { withTimeout } from "./with_timeout.ts";

/** Options of {@link StoreCalls}. */
export type StoreCallsOptions = Pick<
  GatewayContext,
  "clock" | "events" | "metrics" | "suspensions"
>;

/** Makes calls to the store. */
export class StoreCalls {
  readonly #options: StoreCallsOptions;

  constructor(options: StoreCallsOptions) {
    this.#options = options;
  }

  /** Makes a call; undefined if it fails or times out. */
  async read<Value>(
    work: (signal: AbortSignal) => Promise<Value>,
    timeoutMs: Milliseconds,
  ): Promise<Value | undefined> {
    const { clock, metrics } = this.#options;
    const startedAt = clock.now();
    const value = await this.#unlessSuspended(() =>
      withTimeout({
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

  /**
   * Makes a long-polling call that aborting `watch` ends; undefined if it fails
   * or times out.
   */
  async watch<Value>(
    work: (signal: AbortSignal) => Promise<Value>,
    { watch, timeoutMs }: {
      readonly watch: AbortController;
      readonly timeoutMs: Milliseconds;
    },
  ): Promise<Value | undefined> {
    const cancel = this.#options.clock.after(timeoutMs, () => watch.abort());
    try {
      return await this.#unlessSuspended(() => work(watch.signal));
    } catch (error) {
      this.#noteFault("watch", String(error));
      return undefined;
    } finally {
      cancel();
    }
  }

  /** Discards a value that may have been read before a suspension. */
  async #unlessSuspended<Value>(
    work: () => Promise<Value>,
  ): Promise<Value | undefined> {
    const { suspensions } = this.#options;
    const suspended = suspensions.check();
    const value = await work();
    return suspensions.check() === suspended ? value : undefined;
  }

  #noteFault(call: string, reason: string): void {
    this.#options.events.note("callFailed", { call, reason });
  }
}
