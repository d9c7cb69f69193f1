/** One trial: a policy, a workload, a load and a disturbance. */
import hdr from "hdr-histogram-js";
import {
  alwaysSticky,
  costChooser,
  EnvelopeCodec,
  leastLoaded,
  type Options,
  type Order,
  type Policy,
  predictedCost,
  roundRobin,
  stickyUntilSaturated,
} from "../../src/core/mod.ts";
import {
  type Engine,
  hitBlocks,
  storeBlocks,
} from "../../src/standins/engine/mod.ts";
import { callerRequest } from "../../test/fake/callers.ts";
import { type FakeHost, Fleet } from "../../test/fake/fleet.ts";
import { customer } from "../../test/fake/seed_rows.ts";
import { writeRows } from "../../src/standins/platform/model.ts";
import { boundOf } from "./bound.ts";
import { DISTURBANCES } from "./disturbances.ts";
import {
  armor,
  type Arrival,
  arrivalsOf,
  capacityOf,
  forum,
  paper,
  sharedOf,
  type Workload,
} from "./workloads.ts";

/** What to try. */
export type TrialSource = {
  readonly workload: "armor" | "forum" | "paper";
  readonly policy: string;
  readonly load: number;
  readonly disturbance: string;
  readonly hosts: number;
  readonly seed: number;
  readonly spanMs: number;
};

/** What a trial came to. */
export type TrialResult = TrialSource & {
  readonly requests: number;
  readonly good: number;
  readonly bound: number;
  readonly onTimePerSecond: number;
  readonly misses: Readonly<Record<string, number>>;
  /** Prefill tokens thrown away, and done again for the same request. */
  readonly thrown: number;
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

const WORKLOADS = { armor, forum, paper };
const WARM_MS = 12_000;
const COOL_MS = 20_000;
const SETTLE_MS = 6000;

/** The policies by name; "name:number" sets a parameter. */
export function policyOf(name: string): () => Policy {
  const [kind, parameter] = name.split(":");
  const number = Number(parameter);
  switch (kind) {
    case "round-robin":
      return roundRobin;
    case "least-loaded":
      return () => leastLoaded;
    case "always-sticky":
      return () => alwaysSticky;
    case "sticky-tau":
      return () => stickyUntilSaturated(number);
    case "cost-charge":
      return () => ({ ...predictedCost, choose: costChooser(number) });
    case "cost-ahead":
      return () => ({ ...predictedCost, aheadMs: number });
    case "cost-keeps":
      return () => ({ ...predictedCost, refusesLate: false });
    default:
      return () => predictedCost;
  }
}

function optionsOf(source: TrialSource, workload: Workload): Partial<Options> {
  const ours = source.policy.startsWith("cost");
  // Baselines wait for what they have sent; giving up would only cost them.
  const patience = ours
    ? {}
    : { prefillSlackMs: 60_000, transferSlackMs: 60_000 };
  return {
    ...patience,
    planAlone: source.policy === "cost-alone",
    transferMsPerToken: workload.engine.transferMsPerToken,
  };
}

/** Runs a trial. */
export function runTrial(source: TrialSource): TrialResult {
  const disturbance = DISTURBANCES[source.disturbance];
  if (!disturbance) throw new Error(`No disturbance ${source.disturbance}`);
  const make = WORKLOADS[source.workload];
  const workload: Workload = make(source.hosts, disturbance.engine);
  const fleet = new Fleet({
    layout: workload.layout,
    seed: source.seed,
    policy: policyOf(source.policy),
    options: optionsOf(source, workload),
  });
  writeRows(fleet.platform, [customer("paper", { first_token_ms: 4000 })]);
  prewarm(fleet, workload);
  const rate = capacityOf(workload) * source.load;
  const span = WARM_MS + source.spanMs;
  const arrivals = arrivalsOf(workload, rate, span, source.seed);
  const tally = new Tally(fleet);
  fleet.onOrder = (host, order) => tally.note(host, order);
  fleet.onPrefilled = (attempt, tokens) => tally.notePrefill(attempt, tokens);
  sendAll(fleet, workload, arrivals, source.seed, disturbance.cancelShare);
  disturbance.apply(fleet, SETTLE_MS + WARM_MS, source.spanMs);
  fleet.queue.push(SETTLE_MS + WARM_MS, () => tally.start());
  fleet.runUntil(SETTLE_MS + span + COOL_MS);
  const counted = arrivals.filter((one) => one.at >= WARM_MS);
  return {
    ...source,
    ...tally.result(counted.length, source.spanMs),
    bound: boundOf(workload, counted),
  };
}

/** Fills the caches as a fleet has them that has run for a while. */
function prewarm(fleet: Fleet, workload: Workload): void {
  const prefills = [...fleet.upstreams.values()]
    .filter((one) => one.laid.role === "prefill");
  for (const kind of workload.kinds) {
    for (let group = kind.groups - 1; group >= 0; group -= 1) {
      const tokens = sharedOf(kind, group);
      const { prefixes } = callerRequest("", {
        host: "",
        text: "",
        prefix: `${kind.name}-group-${group}`,
        prefixTokens: tokens,
        promptTokens: tokens,
      });
      const place = prefills[group % prefills.length];
      if (place) storeBlocks(place.engine.cache, prefixes);
    }
  }
}

function sendAll(
  fleet: Fleet,
  workload: Workload,
  arrivals: readonly Arrival[],
  seed: number,
  cancelShare: number,
): void {
  const hosts = [...fleet.hosts.keys()];
  for (const [number, one] of arrivals.entries()) {
    fleet.queue.push(SETTLE_MS + one.at, () => {
      const got = fleet.call({
        host: hosts[(number * 7 + seed) % hosts.length] ?? "",
        customer: one.kind.customer,
        service: workload.service,
        text: `${one.kind.name}-${number}`,
        prefix: `${one.kind.name}-group-${one.group}`,
        prefixTokens: one.sharedTokens,
        promptTokens: one.promptTokens,
        outputTokens: one.outputTokens,
      });
      const leaves = (number * 31 + seed) % 100 < cancelShare * 100;
      if (leaves) fleet.after(150 + number % 700, () => fleet.hangUp(got));
    });
  }
}

/** Counts what the fleet does from a moment on. */
class Tally {
  readonly #fleet: Fleet;
  readonly #first = newHistogram();
  readonly #between = newHistogram();
  readonly #misses: Record<string, number> = {};
  readonly #prefillsOf = new Map<string, number>();
  #startedAt = Infinity;
  #good = 0;
  #redone = 0;
  #refused = 0;
  #refusedWrongly = 0;
  #messages = 0;
  #bytes = 0;
  #before = { prefilled: 0, thrown: 0, hits: 0, prompts: 0 };

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  start(): void {
    this.#startedAt = this.#fleet.now;
    this.#before = this.#records();
  }

  #records() {
    const sums = { prefilled: 0, thrown: 0, hits: 0, prompts: 0 };
    for (const { engine: { record } } of this.#fleet.upstreams.values()) {
      sums.prefilled += record.prefilledTokens;
      sums.thrown += record.thrownTokens;
      sums.hits += record.hitTokens;
      sums.prompts += record.promptTokens;
    }
    return sums;
  }

  note(
    host: {
      readonly world: Fleet["hosts"] extends Map<string, infer H>
        ? H extends { world: infer W } ? W : never
        : never;
    },
    order: Order,
  ): void {
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

  /** Each prefill of a request after its first was done again. */
  notePrefill(attempt: string, computedTokens: number): void {
    const request = attempt.split("/").slice(0, 3).join("/");
    const before = this.#prefillsOf.get(request) ?? 0;
    this.#prefillsOf.set(request, before + 1);
    const counts = this.#fleet.now >= this.#startedAt;
    if (counts && before > 0) this.#redone += computedTokens;
  }

  #counts(request: string): boolean {
    const got = this.#fleet.got.get(request);
    return got !== undefined && got.at >= this.#startedAt;
  }

  #noteError(order: Extract<Order, { type: "replyError" }>): void {
    if (!this.#counts(order.request)) return;
    this.#miss(order.error);
    if (order.error !== "overloaded") return;
    this.#refused += 1;
    if (this.#couldServe(order.request)) this.#refusedWrongly += 1;
  }

  /** Whether the engines as they truly are could still be on time. */
  #couldServe(id: string): boolean {
    const got = this.#fleet.got.get(id);
    if (!got) return false;
    const { now } = this.#fleet;
    const left = got.at + this.#targetOf(got.call.customer) - now;
    const { prefixes } = callerRequest(id, got.call);
    const upstreams = [...this.#fleet.upstreams.values()];
    const waitingMs = this.#waitingMs(upstreams.map((one) => one.engine));
    const slot = upstreams.some(({ laid, engine }) => {
      const held = engine.running.size + engine.fetching.size;
      return laid.role === "decode" && held < SLOTS_IN_TIME;
    });
    return slot &&
      upstreams.some(({ laid, engine }) =>
        laid.role === "prefill" &&
        firstTokenAt(engine, got.call.promptTokens ?? 0, prefixes, now) - now <=
          left - waitingMs
      );
  }

  /** Time that the work waiting at planners takes the prefill engines. */
  #waitingMs(engines: readonly Engine[]): number {
    let waitMs = 0;
    for (const { world } of this.#fleet.hosts.values()) {
      for (const queue of world.plans.asks.values()) {
        for (const { ask } of queue.values()) {
          const least = Math.min(
            ...engines.map((engine) =>
              prefillMs(engine, ask.promptTokens, ask.prefixes)
            ),
          );
          waitMs += Math.max(
            least,
            ask.promptTokens * world.options.transferMsPerToken,
          );
        }
      }
    }
    const prefills = engines.filter((one) => one.record.promptTokens > 0);
    return waitMs / Math.max(1, prefills.length);
  }

  #targetOf(name = ""): number {
    return { armor: 560, forum: 2000, counter: 400, paper: 4000 }[name] ?? 560;
  }

  #noteEnd(id: string): void {
    if (!this.#counts(id)) return;
    const got = this.#fleet.got.get(id);
    if (!got || got.gone) return;
    const firstMs = (got.firstAt ?? Infinity) - got.at;
    const span = this.#fleet.now - (got.firstAt ?? this.#fleet.now);
    const tokens = got.call.outputTokens ?? 1;
    const betweenMs = tokens > 1 ? span / (tokens - 1) : 0;
    record(this.#first, firstMs);
    record(this.#between, betweenMs);
    const late = firstMs > this.#targetOf(got.call.customer);
    const slow = betweenMs > 35;
    if (late) this.#miss("first token late");
    else if (slow) this.#miss("between tokens slow");
    else this.#good += 1;
  }

  #miss(cause: string): void {
    this.#misses[cause] = (this.#misses[cause] ?? 0) + 1;
  }

  result(requests: number, spanMs: number) {
    const gone = [...this.#fleet.got.values()]
      .filter((one) => one.gone && one.at >= this.#startedAt).length;
    const after = this.#records();
    const prefilled = after.prefilled - this.#before.prefilled;
    const prompts = after.prompts - this.#before.prompts;
    const served = requests - gone;
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

/** Requests that an engine decodes at once within 35 ms a token. */
const SLOTS_IN_TIME = 40;
/** A first decode step, and the way there and back. */
const STEP_MS = 35;

/** Time of a prompt's own prefill at an engine. */
function prefillMs(
  engine: Engine,
  promptTokens: number,
  prefixes: readonly number[],
): number {
  const { prefillRate, blockTokens } = engine.parameters;
  const hits = hitBlocks(engine.cache, prefixes) * blockTokens;
  return (promptTokens - hits) / prefillRate * 1000;
}

/** When a first token could come by way of an engine as it is. */
function firstTokenAt(
  engine: Engine,
  promptTokens: number,
  prefixes: readonly number[],
  now: number,
): number {
  const { prefillRate, transferMsPerToken, blockTokens } = engine.parameters;
  const queued = engine.prefillQueue.reduce(
    (sum, { job }) =>
      sum + job.promptTokens -
      hitBlocks(engine.cache, job.prefixes) * blockTokens,
    0,
  );
  const startAt = Math.max(now, engine.prefillNow?.endsAt ?? 0);
  const prefilledAt = startAt + queued / prefillRate * 1000 +
    prefillMs(engine, promptTokens, prefixes);
  const linkAt = Math.max(engine.linkFreeAt, prefilledAt);
  return linkAt + promptTokens * transferMsPerToken + STEP_MS;
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
