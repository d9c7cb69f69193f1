/** A fake upstream, which runs the model of an engine or of a plain service. */
import type { AttemptId, CacheEvent, Event } from "../../src/core/mod.ts";
import {
  acceptDecode,
  acceptLocalPrefill,
  acceptPrefill,
  advance,
  cacheEvents,
  cancel,
  createEngine,
  DEFAULT_ENGINE,
  endFetch,
  type Engine,
  heldAttempts,
  loadReport,
  nextEventAt,
  type Output,
  resumeDecode,
  sendExport,
} from "../../src/standins/engine/mod.ts";
import {
  acceptCall,
  advancePlain,
  cancelCall,
  createPlain,
  nextEnd,
  type PlainService,
} from "../../src/standins/plain/model.ts";
import type { FakeBody } from "./callers.ts";
import type { FakeFleet, FakeHost } from "./fleet.ts";
import type { UpstreamLayout } from "./layout.ts";

/** The order of a prefill or a decode. */
export type FakeDecode = {
  readonly attempt: AttemptId;
  readonly body: string;
  readonly priority: number;
  readonly transfer?: string;
};

/** An upstream of a fake fleet. */
export class FakeUpstream {
  readonly layout: UpstreamLayout;
  readonly #fleet: FakeFleet;
  engine: Engine;
  plain: PlainService;
  alive = true;
  epoch = 1;
  /** How many of the next cancels are lost. */
  cancelsToDrop = 0;
  /** The share of pages of cache events that lose events, from 0 to 1. */
  cacheEventLossRate = 0;
  /** The host that reads the response, by attempt. */
  readonly #readers = new Map<AttemptId, string>();
  /** How often each attempt has started, over all restarts. */
  readonly startCounts = new Map<AttemptId, number>();
  /** How often each plain call has run, by text, over all restarts. */
  readonly plainRunCounts = new Map<string, number>();
  /** Whether orders with a lower fence than the highest so far are refused. */
  checksOrders: boolean;
  /** Accepted orders to change the role. */
  readonly orders: { from: string; role: string; fence: number; at: number }[] =
    [];
  /** The times at which work was accepted. */
  readonly startTimes: number[] = [];
  /** The time at which work was last accepted. */
  lastStartAt = -Infinity;
  #nextUpdateAt = Infinity;
  #pages = 0;

  constructor(fleet: FakeFleet, layout: UpstreamLayout) {
    this.#fleet = fleet;
    this.layout = layout;
    this.checksOrders = layout.checksOrders ?? true;
    this.engine = this.#createEngine();
    this.plain = this.#createPlain();
  }

  #createEngine(): Engine {
    const parameters = { ...DEFAULT_ENGINE, ...this.layout.engine };
    return createEngine(this.layout.id, parameters, this.epoch);
  }

  #createPlain(): PlainService {
    const options = { slots: 8, serviceMs: 30 };
    return createPlain(this.layout.id, options, this.epoch);
  }

  /** Crashes: loses all state and breaks the connections of its readers. */
  crash(): void {
    this.alive = false;
    for (const attempt of this.#readers.keys()) {
      this.#sendToReader(attempt, this.#attemptFailed(attempt, "broken"));
    }
    this.#readers.clear();
    this.epoch += 1;
    this.engine = this.#createEngine();
    this.plain = this.#createPlain();
  }

  /** Restarts with empty state. */
  restart(): void {
    if (this.alive) this.crash();
    this.alive = true;
    this.#nextUpdateAt = Infinity;
  }

  /**
   * Handles an order to change the role; returns false if its fence is too low.
   */
  changeRole(from: string, role: string, fence: number): boolean {
    if (this.checksOrders && fence < this.engine.fence) return false;
    this.engine.fence = Math.max(fence, this.engine.fence);
    this.engine.role = role;
    this.orders.push({ from, role, fence, at: this.#fleet.now });
    return true;
  }

  /** Returns the attempts that occupy memory. */
  held(): AttemptId[] {
    return this.layout.role === "plain"
      ? [
        ...this.plain.running.keys(),
        ...this.plain.waiting.map((call) => call.attempt),
      ]
      : heldAttempts(this.engine);
  }

  prefill(reader: FakeHost, order: FakeDecode): void {
    const work = this.#startWork(reader, order);
    acceptPrefill(this.engine, work, this.#fleet.now);
    this.update();
  }

  decode(reader: FakeHost, order: FakeDecode): void {
    const work = this.#startWork(reader, order);
    const now = this.#fleet.now;
    if (order.transfer === undefined) {
      acceptLocalPrefill(this.engine, work, now);
    } else acceptDecode(this.engine, work, JSON.parse(order.transfer), now);
    this.update();
  }

  call(reader: FakeHost, attempt: AttemptId, body: string): void {
    this.#noteStart(reader, attempt);
    const { text } = JSON.parse(body) as FakeBody;
    this.plainRunCounts.set(text, (this.plainRunCounts.get(text) ?? 0) + 1);
    acceptCall(this.plain, attempt, text, this.#fleet.now);
    this.update();
  }

  #startWork(reader: FakeHost, order: FakeDecode) {
    const { attempt, priority } = order;
    this.#noteStart(reader, attempt);
    const body = JSON.parse(order.body) as FakeBody;
    return { attempt, priority, ...body };
  }

  #noteStart(reader: FakeHost, attempt: AttemptId): void {
    this.#readers.set(attempt, reader.id);
    this.lastStartAt = this.#fleet.now;
    this.startTimes.push(this.#fleet.now);
    const before = this.startCounts.get(attempt) ?? 0;
    this.startCounts.set(attempt, before + 1);
  }

  resume(reader: FakeHost, attempt: AttemptId, after: number): void {
    this.#readers.set(attempt, reader.id);
    if (resumeDecode(this.engine, attempt, after)) return this.update();
    this.#sendToReader(attempt, this.#attemptFailed(attempt, "gone"));
  }

  cancel(attempt: AttemptId): boolean {
    if (this.cancelsToDrop > 0) {
      this.cancelsToDrop -= 1;
      return false;
    }
    cancel(this.engine, attempt, this.#fleet.now);
    cancelCall(this.plain, attempt);
    this.#readers.delete(attempt);
    this.update();
    return true;
  }

  load(): Event {
    const { now } = this.#fleet;
    const { plain } = this;
    const report = this.layout.role === "plain"
      ? {
        running: plain.running.size,
        slots: plain.slots,
        prefillQueueTokens: 0,
        prefillRate: 0,
        stepMs: 0,
        draining: plain.draining,
        epoch: plain.epoch,
      }
      : loadReport(this.engine, now);
    return { type: "loadReport", upstream: this.layout.id, report };
  }

  cacheEvents(after: number): Event {
    const page = cacheEvents(this.engine, after);
    this.#pages += 1;
    let { from } = page;
    let events: readonly CacheEvent[] = page.events;
    if (this.#pages % 10 < this.cacheEventLossRate * 10) {
      const lost = Math.ceil(events.length / 2);
      events = events.slice(lost);
      from += lost;
    }
    return { type: "cacheEvents", upstream: this.layout.id, from, events };
  }

  /** Sends a retained export to another engine. */
  sendExport(exportOf: string, engine: string, attempt: string): void {
    const { now } = this.#fleet;
    sendExport(this.engine, exportOf, { engine, attempt }, now);
    this.update();
  }

  /** Handles the end of an export's transfer. */
  endFetch(attempt: string, ok: boolean): void {
    endFetch(this.engine, attempt, ok, this.#fleet.now);
    this.update();
  }

  /** Delivers the outputs that are due and schedules the next update. */
  update(): void {
    const { now } = this.#fleet;
    for (const output of advance(this.engine, now)) this.#handleOutput(output);
    for (const done of advancePlain(this.plain, now)) {
      const { attempt, body } = done;
      const event = { type: "plainDone", attempt, status: 200, body } as const;
      this.#sendToReader(attempt, event);
      this.#readers.delete(attempt);
    }
    const next = Math.min(nextEventAt(this.engine), nextEnd(this.plain));
    const isScheduled = this.#nextUpdateAt > now && this.#nextUpdateAt <= next;
    if (next === Infinity || isScheduled) return;
    this.#nextUpdateAt = next;
    const { epoch } = this;
    this.#fleet.queue.push(next, () => {
      if (this.alive && this.epoch === epoch) this.update();
    });
  }

  #handleOutput(output: Output): void {
    const { attempt } = output;
    switch (output.type) {
      case "prefilled":
        this.#fleet.onPrefilled(attempt, output.computedTokens);
        return this.#sendToReader(attempt, {
          type: "prefillDone",
          attempt,
          transfer: JSON.stringify({
            engine: this.layout.id,
            exportOf: attempt,
          }),
          keptMs: this.engine.parameters.exportMs,
          cachedTokens: output.cachedTokens,
        });
      case "chunk":
        this.#sendToReader(attempt, output);
        if (output.last) this.#readers.delete(attempt);
        return;
      case "failed":
        return this.#sendToReader(
          attempt,
          this.#attemptFailed(attempt, "gone"),
        );
      case "fetch": {
        const source = this.#fleet.upstream(output.engine);
        const { id } = this.layout;
        const { exportOf } = output;
        return this.#sendToUpstream(source, () => {
          if (source.alive) source.sendExport(exportOf, id, attempt);
          else this.endFetch(attempt, false);
        });
      }
      case "fetched": {
        const target = this.#fleet.upstream(output.to);
        return this.#sendToUpstream(target, () => {
          if (target.alive) target.endFetch(attempt, output.ok);
        });
      }
    }
  }

  #attemptFailed(attempt: AttemptId, failure: "broken" | "gone"): Event {
    const upstream = this.layout.id;
    return { type: "attemptFailed", attempt, upstream, failure };
  }

  #sendToUpstream(target: FakeUpstream, run: () => void): void {
    const { network } = this.#fleet;
    if (!network.reaches(this.layout.hall, target.layout.hall)) return;
    this.#fleet.after(network.delay(this.layout.hall, target.layout.hall), run);
  }

  #sendToReader(attempt: AttemptId, event: Event): void {
    const reader = this.#readers.get(attempt);
    const host = reader && this.#fleet.hosts.get(reader);
    if (!host) return;
    const { network } = this.#fleet;
    const delay = network.delay(this.layout.hall, host.hall);
    const { incarnation } = host;
    this.#fleet.after(delay, () => {
      if (!network.reaches(this.layout.hall, host.hall)) return;
      if (host.incarnation === incarnation) this.#fleet.deliver(host, event);
    });
  }
}
