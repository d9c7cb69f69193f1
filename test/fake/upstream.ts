/** A fake upstream: an engine's or a plain service's model in the fleet. */
import type { AttemptId, CacheEvent, Event } from "../../src/core/mod.ts";
import {
  acceptDecode,
  acceptPrefill,
  acceptWhole,
  advance,
  cacheEvents,
  cancel,
  createEngine,
  DEFAULT_ENGINE,
  endFetch,
  type Engine,
  held,
  load,
  nextAt,
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
import type { FakeHost, Fleet } from "./fleet.ts";
import type { LaidUpstream } from "./layout.ts";

/** What a decode needs beyond its attempt. */
export type FakeDecode = {
  readonly attempt: AttemptId;
  readonly body: string;
  readonly priority: number;
  readonly transfer?: string;
};

/** One upstream of a fake fleet. */
export class FakeUpstream {
  readonly laid: LaidUpstream;
  readonly #fleet: Fleet;
  engine: Engine;
  plain: PlainService;
  alive = true;
  epoch = 1;
  /** Cancels that get lost on their way. */
  loseCancels = 0;
  /** Cache events that get lost: every nth page. */
  dropCacheShare = 0;
  /** Hosts that read each attempt's answer. */
  readonly #readers = new Map<AttemptId, string>();
  /** Attempts that have started here over all its runs. */
  readonly startedEver = new Map<AttemptId, number>();
  /** Plain calls run here over all its runs, by body. */
  readonly ranEver = new Map<string, number>();
  /** Refuses orders with a lower fence than it has seen. */
  checksOrders: boolean;
  /** Orders taken, in their order. */
  readonly orders: { from: string; role: string; fence: number; at: number }[] =
    [];
  /** When new work was taken. */
  readonly startTimes: number[] = [];
  /** When the last new work was taken. */
  lastStartAt = -Infinity;
  #wakeAt = Infinity;
  #pages = 0;

  constructor(fleet: Fleet, laid: LaidUpstream) {
    this.#fleet = fleet;
    this.laid = laid;
    this.checksOrders = laid.checksOrders ?? true;
    this.engine = this.#newEngine();
    this.plain = this.#newPlain();
  }

  #newEngine(): Engine {
    const parameters = { ...DEFAULT_ENGINE, ...this.laid.engine };
    return createEngine(this.laid.id, parameters, this.epoch);
  }

  #newPlain(): PlainService {
    const options = { slots: 8, serviceMs: 30 };
    return createPlain(this.laid.id, options, this.epoch);
  }

  /** Dies: all it held is gone, and its readers see the connection break. */
  die(): void {
    this.alive = false;
    for (const attempt of this.#readers.keys()) {
      this.#tellReader(attempt, this.#failed(attempt, "broken"));
    }
    this.#readers.clear();
    this.epoch += 1;
    this.engine = this.#newEngine();
    this.plain = this.#newPlain();
  }

  /** Starts again, empty. */
  restart(): void {
    if (this.alive) this.die();
    this.alive = true;
    this.#wakeAt = Infinity;
  }

  /** Takes an order to change its role; false when its fence is too low. */
  turn(from: string, role: string, fence: number): boolean {
    if (this.checksOrders && fence < this.engine.fence) return false;
    this.engine.fence = Math.max(fence, this.engine.fence);
    this.engine.role = role;
    this.orders.push({ from, role, fence, at: this.#fleet.now });
    return true;
  }

  /** Every attempt that holds memory here. */
  held(): AttemptId[] {
    return this.laid.role === "plain"
      ? [
        ...this.plain.running.keys(),
        ...this.plain.waiting.map((one) => one.attempt),
      ]
      : held(this.engine);
  }

  prefill(reader: FakeHost, order: FakeDecode): void {
    const work = this.#begin(reader, order);
    acceptPrefill(this.engine, work, this.#fleet.now);
    this.touch();
  }

  decode(reader: FakeHost, order: FakeDecode): void {
    const work = this.#begin(reader, order);
    const now = this.#fleet.now;
    if (order.transfer === undefined) acceptWhole(this.engine, work, now);
    else acceptDecode(this.engine, work, JSON.parse(order.transfer), now);
    this.touch();
  }

  call(reader: FakeHost, attempt: AttemptId, body: string): void {
    this.#noteStart(reader, attempt);
    const { text } = JSON.parse(body) as FakeBody;
    this.ranEver.set(text, (this.ranEver.get(text) ?? 0) + 1);
    acceptCall(this.plain, attempt, text, this.#fleet.now);
    this.touch();
  }

  #begin(reader: FakeHost, order: FakeDecode) {
    const { attempt, priority } = order;
    this.#noteStart(reader, attempt);
    const body = JSON.parse(order.body) as FakeBody;
    return { attempt, priority, ...body };
  }

  #noteStart(reader: FakeHost, attempt: AttemptId): void {
    this.#readers.set(attempt, reader.id);
    this.lastStartAt = this.#fleet.now;
    this.startTimes.push(this.#fleet.now);
    const before = this.startedEver.get(attempt) ?? 0;
    this.startedEver.set(attempt, before + 1);
  }

  resume(reader: FakeHost, attempt: AttemptId, after: number): void {
    this.#readers.set(attempt, reader.id);
    if (resumeDecode(this.engine, attempt, after)) return this.touch();
    this.#tellReader(attempt, this.#failed(attempt, "gone"));
  }

  cancel(attempt: AttemptId): boolean {
    if (this.loseCancels > 0) {
      this.loseCancels -= 1;
      return false;
    }
    cancel(this.engine, attempt, this.#fleet.now);
    cancelCall(this.plain, attempt);
    this.#readers.delete(attempt);
    this.touch();
    return true;
  }

  load(): Event {
    const { now } = this.#fleet;
    const { plain } = this;
    const report = this.laid.role === "plain"
      ? {
        running: plain.running.size,
        slots: plain.slots,
        prefillQueueTokens: 0,
        prefillRate: 0,
        stepMs: 0,
        draining: plain.draining,
        epoch: plain.epoch,
      }
      : load(this.engine, now);
    return { type: "loadReport", upstream: this.laid.id, report };
  }

  cacheEvents(after: number): Event {
    const page = cacheEvents(this.engine, after);
    this.#pages += 1;
    let { from } = page;
    let events: readonly CacheEvent[] = page.events;
    if (this.#pages % 10 < this.dropCacheShare * 10) {
      const lost = Math.ceil(events.length / 2);
      events = events.slice(lost);
      from += lost;
    }
    return { type: "cacheEvents", upstream: this.laid.id, from, events };
  }

  /** Sends a kept export to another engine. */
  fetch(exportOf: string, engine: string, attempt: string): void {
    const { now } = this.#fleet;
    sendExport(this.engine, exportOf, { engine, attempt }, now);
    this.touch();
  }

  /** An export has come, or can't come. */
  fetched(attempt: string, ok: boolean): void {
    endFetch(this.engine, attempt, ok, this.#fleet.now);
    this.touch();
  }

  /** Passes on what has happened and plans the next wake. */
  touch(): void {
    const { now } = this.#fleet;
    for (const output of advance(this.engine, now)) this.#pass(output);
    for (const done of advancePlain(this.plain, now)) {
      const { attempt, body } = done;
      const event = { type: "plainDone", attempt, status: 200, body } as const;
      this.#tellReader(attempt, event);
      this.#readers.delete(attempt);
    }
    const next = Math.min(nextAt(this.engine), nextEnd(this.plain));
    const planned = this.#wakeAt > now && this.#wakeAt <= next;
    if (next === Infinity || planned) return;
    this.#wakeAt = next;
    const { epoch } = this;
    this.#fleet.queue.push(next, () => {
      if (this.alive && this.epoch === epoch) this.touch();
    });
  }

  #pass(output: Output): void {
    const { attempt } = output;
    switch (output.type) {
      case "prefilled":
        this.#fleet.onPrefilled(attempt, output.computedTokens);
        return this.#tellReader(attempt, {
          type: "prefillDone",
          attempt,
          transfer: JSON.stringify({ engine: this.laid.id, exportOf: attempt }),
          keptMs: this.engine.parameters.exportMs,
          cachedTokens: output.cachedTokens,
        });
      case "chunk":
        this.#tellReader(attempt, output);
        if (output.last) this.#readers.delete(attempt);
        return;
      case "failed":
        return this.#tellReader(attempt, this.#failed(attempt, "gone"));
      case "fetch": {
        const source = this.#fleet.upstream(output.engine);
        const { id } = this.laid;
        const { exportOf } = output;
        return this.#tellUpstream(source, () => {
          if (source.alive) source.fetch(exportOf, id, attempt);
          else this.fetched(attempt, false);
        });
      }
      case "fetched": {
        const target = this.#fleet.upstream(output.to);
        return this.#tellUpstream(target, () => {
          if (target.alive) target.fetched(attempt, output.ok);
        });
      }
    }
  }

  #failed(attempt: AttemptId, failure: "broken" | "gone"): Event {
    const upstream = this.laid.id;
    return { type: "attemptFailed", attempt, upstream, failure };
  }

  #tellUpstream(other: FakeUpstream, run: () => void): void {
    const { network } = this.#fleet;
    if (!network.reaches(this.laid.hall, other.laid.hall)) return;
    this.#fleet.after(network.delay(this.laid.hall, other.laid.hall), run);
  }

  #tellReader(attempt: AttemptId, event: Event): void {
    const reader = this.#readers.get(attempt);
    const host = reader && this.#fleet.hosts.get(reader);
    if (!host) return;
    const { network } = this.#fleet;
    const delay = network.delay(this.laid.hall, host.hall);
    const { incarnation } = host;
    this.#fleet.after(delay, () => {
      if (!network.reaches(this.laid.hall, host.hall)) return;
      if (host.incarnation === incarnation) this.#fleet.deliver(host, event);
    });
  }
}
