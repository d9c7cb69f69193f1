/**
 * Computes an upper bound on the goodput: one server with the sum of all
 * prefill rates and all shared prefixes cached, and one pool of decode slots.
 * Requests are served by deadline; if not all can be on time, the largest is
 * dropped.
 */
import { type Arrival, uncachedTokens } from "./arrivals.ts";
import type { Workload } from "./workloads.ts";

type QueuedJob = { readonly arrival: Arrival; workMs: number; dueAt: number };

/** Returns the share of requests that this server serves on time. */
export function upperBoundOf(
  workload: Workload,
  arrivals: readonly Arrival[],
): number {
  const { engine, layout: { upstreams } } = workload;
  const prefills =
    upstreams.filter((upstream) => upstream.role === "prefill").length;
  const rate = prefills * engine.prefillRate / 1000;
  const queue: QueuedJob[] = [];
  let now = 0;
  let onTime = 0;
  const serveUntil = (end: number): void => {
    while (queue.length > 0 && now < end) {
      const first = queue[0];
      if (!first) return;
      const span = Math.min(first.workMs, end - now);
      first.workMs -= span;
      now += span;
      if (first.workMs > 1e-9) return;
      queue.shift();
      onTime += 1;
    }
    now = Math.max(now, end);
  };
  for (const arrival of arrivals) {
    serveUntil(arrival.at);
    const dueAt = arrival.at + arrival.kind.firstTokenMs;
    const workMs = uncachedTokens(arrival) / rate;
    queue.push({ arrival, workMs, dueAt });
    queue.sort((a, b) => a.dueAt - b.dueAt);
    dropLateRequests(queue, now);
  }
  serveUntil(Infinity);
  return Math.min(onTime / arrivals.length, decodeShare(workload, arrivals));
}

/** Drops the largest queued request until none is late. */
function dropLateRequests(queue: QueuedJob[], now: number): void {
  for (;;) {
    let at = now;
    let late = -1;
    for (const [index, job] of queue.entries()) {
      at += job.workMs;
      if (at <= job.dueAt) continue;
      late = index;
      break;
    }
    if (late < 0) return;
    let largest = 0;
    for (let index = 1; index <= late; index += 1) {
      const job = queue[index];
      const current = queue[largest];
      if (job && current && job.workMs > current.workMs) {
        largest = index;
      }
    }
    queue.splice(largest, 1);
  }
}

/**
 * Returns the share of requests that the decode slots can serve over the run.
 */
function decodeShare(
  workload: Workload,
  arrivals: readonly Arrival[],
): number {
  const { engine, layout: { upstreams } } = workload;
  const decodes =
    upstreams.filter((upstream) => upstream.role === "decode").length;
  const slots = Math.min(
    engine.slots,
    Math.floor((35 - engine.stepBaseMs) / engine.stepPerRequestMs),
  );
  const from = arrivals[0]?.at ?? 0;
  const span = (arrivals.at(-1)?.at ?? 0) - from + 1000;
  const stepMs = engine.stepBaseMs + engine.stepPerRequestMs * slots;
  let left = decodes * slots * span;
  const needs = arrivals
    .map((arrival) => arrival.outputTokens * stepMs)
    .sort((a, b) => a - b);
  let served = 0;
  for (const need of needs) {
    left -= need;
    if (left < 0) break;
    served += 1;
  }
  return served / arrivals.length;
}
