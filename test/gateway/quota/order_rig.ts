/** Sends loads to one account's owner in virtual time. */
import { quotaRule } from "../../../src/gateway/quota/bounds.ts";
import {
  type QuotaHold,
  QuotaLedger,
} from "../../../src/gateway/quota/ledger.ts";
import type { OrderRules } from "../../../src/gateway/quota/request_order.ts";
import { SHARD_COUNT } from "../../../src/gateway/quota/shards.ts";

export const WINDOW_MS = 8000;
export const PER_SECOND = 30_000;
/** Units that may be granted in a window. */
export const LIMIT = PER_SECOND * WINDOW_MS / 1000 + PER_SECOND;

/** Requests of one priority and size. */
export type Stream = {
  readonly name: string;
  /** Units asked for per second, relative to the quota's rate. */
  readonly factor: number;
  readonly units: number;
  readonly priority?: number;
  readonly from?: number;
  readonly to?: number;
  /** How often a refused request comes back, at the time told. */
  readonly returns?: number;
};

/** What a stream asked for and got. */
export type StreamResult = {
  asked: number;
  granted: number;
  /** Requests that came back, and those of them that were granted. */
  returned: number;
  grantedAtReturn: number;
};

export type OrderRun = {
  readonly results: ReadonlyMap<string, StreamResult>;
  readonly grants: readonly { readonly at: number; readonly units: number }[];
  readonly holds: readonly QuotaHold[];
  readonly decisions: readonly string[];
  /** Units granted in total. */
  readonly sum: number;
};

export type OrderOptions = {
  readonly order?: OrderRules;
  readonly forMs?: number;
  readonly longestMs?: number;
  /** Whether refused requests get places to retry at. */
  readonly hasPlaces?: boolean;
  readonly random: () => number;
};

type Attempt = {
  readonly stream: Stream;
  readonly key: string;
  readonly returns: number;
};

/** An account with one host, without overshoot. */
export function newLedger(
  order?: OrderRules,
  noteHold?: (hold: QuotaHold) => void,
): QuotaLedger {
  const bounds = { windowMs: WINDOW_MS, overshoot: 0, tolerance: 0 };
  const ledger = new QuotaLedger({
    allowance: quotaRule(() => bounds),
    retentionMs: () => WINDOW_MS,
    knownHosts: () => 1,
    ...(order ? { order: () => order } : {}),
    ...(noteHold ? { noteHold } : {}),
  });
  const shards = Array.from({ length: SHARD_COUNT }, (_, index) => index);
  ledger.setMember("h", { shards, upMs: 1e6, usage: [] }, 0);
  return ledger;
}

/** Sends the streams, with exponential times between their requests. */
export function runStreams(
  streams: readonly Stream[],
  { order, forMs = 30_000, longestMs, hasPlaces, random }: OrderOptions,
): OrderRun {
  const holds: QuotaHold[] = [];
  const ledger = newLedger(order, (hold) => holds.push(hold));
  const due = new Map<number, Attempt[]>();
  const add = (at: number, attempt: Attempt) =>
    due.set(at, [...due.get(at) ?? [], attempt]);
  for (const stream of streams) {
    const stepMs = stream.units / (PER_SECOND * stream.factor) * 1000;
    const times = arrivals(stream, { stepMs, forMs, random });
    for (const [index, at] of times.entries()) {
      add(at, { stream, key: `${stream.name} ${index}`, returns: 0 });
    }
  }
  const results = new Map(
    streams.map(({ name }) => [name, {
      asked: 0,
      granted: 0,
      returned: 0,
      grantedAtReturn: 0,
    }]),
  );
  const grants: { at: number; units: number }[] = [];
  const decisions: string[] = [];
  for (let now = 0; now < forMs; now++) {
    for (const attempt of due.get(now) ?? []) {
      const { stream, key, returns } = attempt;
      const result = results.get(stream.name) as StreamResult;
      const { units, priority } = stream;
      const decision = ledger.acquire({
        customer: "alpha",
        units,
        rate: { perSecond: PER_SECOND, burst: PER_SECOND },
        version: 1,
        mostWaitMs: 75,
        ...(priority === undefined ? {} : { priority }),
        ...(hasPlaces ? { retry: { key, longestMs: longestMs ?? 4000 } } : {}),
      }, now);
      decisions.push(JSON.stringify(decision));
      if (returns === 0) result.asked += 1;
      else result.returned += 1;
      if (decision.type === "granted") {
        result.granted += 1;
        if (returns > 0) result.grantedAtReturn += 1;
        grants.push({ at: now + decision.afterMs, units });
        continue;
      }
      if (returns === (stream.returns ?? 0)) continue;
      const backAt = Math.ceil(now + decision.retryAfterMs);
      add(backAt, { stream, key, returns: returns + 1 });
    }
  }
  const sum = grants.reduce((total, { units }) => total + units, 0);
  return { results, grants, holds, decisions, sum };
}

function arrivals(
  { from = 0, to = Infinity }: Stream,
  { stepMs, forMs, random }: {
    readonly stepMs: number;
    readonly forMs: number;
    readonly random: () => number;
  },
): number[] {
  const times: number[] = [];
  let at = from;
  for (;;) {
    at -= Math.log(1 - random()) * stepMs;
    if (at >= Math.min(to, forMs)) return times;
    times.push(Math.floor(at));
  }
}
