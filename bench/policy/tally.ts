/** Collects statistics of a fake fleet. */
import hdr from "hdr-histogram-js";
import { EnvelopeCodec, type Order } from "../../src/core/mod.ts";
import type { FakeFleet, FakeHost } from "../../test/fake/fleet.ts";
import { couldServe } from "./room.ts";

/** The collected statistics. */
export type TallyResult = {
  readonly requests: number;
  readonly good: number;
  readonly onTimePerSecond: number;
  readonly misses: Readonly<Record<string, number>>;
  /** Prefill tokens that were discarded. */
  readonly thrown: number;
  /** Prefill tokens that were computed again for the same request. */
  readonly redone: number;
  readonly prefilled: number;
  readonly hitShare: number;
  readonly refused: number;
  readonly refusedWrongly: number;
  readonly firstToken: readonly [number, number, number];
  readonly betweenTokens: readonly [number, number, number];
  readonly messagesPerRequest: number;
  readonly bytesPerRequest: number;
};

/** Collects statistics of a fleet from {@link Tally.start} on. */
export class Tally {
  readonly #fleet: FakeFleet;
  readonly #first = newHistogram();
  readonly #between = newHistogram();
  readonly #misses: Record<string, number> = {};
  readonly #prefillCounts = new Map<string, number>();
  #startedAt = Infinity;
  #good = 0;
  #redone = 0;
  #refused = 0;
  #refusedWrongly = 0;
  #messages = 0;
  #bytes = 0;
  #before = { prefilled: 0, thrown: 0, hits: 0, prompts: 0 };

  constructor(fleet: FakeFleet) {
    this.#fleet = fleet;
  }

  /** Starts the measurement. */
  start(): void {
    this.#startedAt = this.#fleet.now;
    this.#before = this.#records();
  }

  #records() {
    const sums = { prefilled: 0, thrown: 0, hits: 0, prompts: 0 };
    for (const { engine: { record } } of this.#fleet.upstreams.values()) {
      sums.prefilled += record.prefilledTokens;
      sums.thrown += record.wastedTokens;
      sums.hits += record.hitTokens;
      sums.prompts += record.promptTokens;
    }
    return sums;
  }

  /** Records an order. */
  noteOrder(host: FakeHost, order: Order): void {
    if (this.#fleet.now < this.#startedAt) return;
    if (order.type === "tell") {
      const { id, incarnation } = host.world.self;
      const messages = [order.message];
      this.#messages += 1;
      this.#bytes += EnvelopeCodec.encode({ from: id, incarnation, messages })
        .finish().length;
    }
    if (order.type === "replyError") this.#noteError(order);
    if (order.type === "replyEnd") this.#noteEnd(order.request);
  }

  /** Records a prefill; all but the first of a request count as repeated. */
  notePrefill(attempt: string, computedTokens: number): void {
    const request = attempt.split("/").slice(0, 3).join("/");
    const before = this.#prefillCounts.get(request) ?? 0;
    this.#prefillCounts.set(request, before + 1);
    const isMeasuring = this.#fleet.now >= this.#startedAt;
    if (isMeasuring && before > 0) this.#redone += computedTokens;
  }

  #isCounted(request: string): boolean {
    const callRecord = this.#fleet.callRecords.get(request);
    return callRecord !== undefined && callRecord.sentAt >= this.#startedAt;
  }

  #noteError(order: Extract<Order, { type: "replyError" }>): void {
    if (!this.#isCounted(order.request)) return;
    this.#miss(order.error);
    if (order.error !== "overloaded") return;
    this.#refused += 1;
    const callRecord = this.#fleet.callRecords.get(order.request);
    if (!callRecord) return;
    const left = callRecord.sentAt + this.#targetOf(callRecord.call.customer) -
      this.#fleet.now;
    if (couldServe(this.#fleet, callRecord, left)) this.#refusedWrongly += 1;
  }

  #targetOf(name = ""): number {
    return { armor: 560, forum: 2000, counter: 400, paper: 4000 }[name] ?? 560;
  }

  #noteEnd(id: string): void {
    if (!this.#isCounted(id)) return;
    const callRecord = this.#fleet.callRecords.get(id);
    if (!callRecord || callRecord.isCancelled) return;
    const firstMs = (callRecord.firstTokenAt ?? Infinity) - callRecord.sentAt;
    const span = this.#fleet.now - (callRecord.firstTokenAt ?? this.#fleet.now);
    const tokens = callRecord.call.outputTokens ?? 1;
    const betweenMs = tokens > 1 ? span / (tokens - 1) : 0;
    record(this.#first, firstMs);
    record(this.#between, betweenMs);
    const late = firstMs > this.#targetOf(callRecord.call.customer);
    const slow = betweenMs > 35;
    if (late) this.#miss("first token late");
    else if (slow) this.#miss("between tokens slow");
    else this.#good += 1;
  }

  #miss(cause: string): void {
    this.#misses[cause] = (this.#misses[cause] ?? 0) + 1;
  }

  /** Returns the statistics since the start. */
  result(requests: number, spanMs: number): TallyResult {
    const cancelled = [...this.#fleet.callRecords.values()]
      .filter((call) => call.isCancelled && call.sentAt >= this.#startedAt)
      .length;
    const after = this.#records();
    const prefilled = after.prefilled - this.#before.prefilled;
    const prompts = after.prompts - this.#before.prompts;
    const served = requests - cancelled;
    return {
      requests: served,
      good: this.#good,
      onTimePerSecond: this.#good / spanMs * 1000,
      misses: this.#misses,
      thrown: after.thrown - this.#before.thrown,
      redone: this.#redone,
      prefilled,
      hitShare: (after.hits - this.#before.hits) / Math.max(1, prompts),
      refused: this.#refused,
      refusedWrongly: this.#refusedWrongly,
      firstToken: percentiles(this.#first),
      betweenTokens: percentiles(this.#between),
      messagesPerRequest: this.#messages / requests,
      bytesPerRequest: this.#bytes / requests,
    };
  }
}

function newHistogram() {
  return hdr.build({ autoResize: true, numberOfSignificantValueDigits: 3 });
}

function record(histogram: hdr.Histogram, ms: number): void {
  if (Number.isFinite(ms)) histogram.recordValue(Math.round(ms * 1000));
}

function percentiles(
  histogram: hdr.Histogram,
): readonly [number, number, number] {
  const at = (share: number): number =>
    histogram.getValueAtPercentile(share) / 1000;
  return [at(50), at(95), at(99)];
}
