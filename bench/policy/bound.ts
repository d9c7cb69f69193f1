/**
 * A bound with perfect knowledge: one pooled server with all prefill rates
 * together and every shared part cached, one pool of decode slots; requests
 * by deadline, the largest given up when not all can be on time.
 */
import { type Arrival, coldTokens } from "./arrivals.ts";
import type { Workload } from "./workloads.ts";

type Waiting = { readonly arrival: Arrival; workMs: number; due: number };

/** Share of requests that such a server would serve on time. */
export function boundOf(
  workload: Workload,
  arrivals: readonly Arrival[],
): number {
  const { engine, layout: { upstreams } } = workload;
  const prefills = upstreams.filter((one) => one.role === "prefill").length;
  const rate = prefills * engine.prefillRate / 1000;
  const queue: Waiting[] = [];
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
    const due = arrival.at + arrival.kind.firstTokenMs;
    const workMs = coldTokens(arrival) / rate;
    queue.push({ arrival, workMs, due });
    queue.sort((a, b) => a.due - b.due);
    shed(queue, now);
  }
  serveUntil(Infinity);
  return Math.min(onTime / arrivals.length, decodeShare(workload, arrivals));
}

/** Gives up the largest request as long as some would be late. */
function shed(queue: Waiting[], now: number): void {
  for (;;) {
    let at = now;
    let late = -1;
    for (const [place, one] of queue.entries()) {
      at += one.workMs;
      if (at <= one.due) continue;
      late = place;
      break;
    }
    if (late < 0) return;
    let largest = 0;
    for (let place = 1; place <= late; place += 1) {
      const one = queue[place];
      const other = queue[largest];
      if (one && other && one.workMs > other.workMs) largest = place;
    }
    queue.splice(largest, 1);
  }
}

/** The most requests that the decode slots can hold over the whole span. */
function decodeShare(
  workload: Workload,
  arrivals: readonly Arrival[],
): number {
  const { engine, layout: { upstreams } } = workload;
  const decodes = upstreams.filter((one) => one.role === "decode").length;
  const slots = Math.min(
    engine.slots,
    Math.floor((35 - engine.stepBaseMs) / engine.stepPerRequestMs),
  );
  const from = arrivals[0]?.at ?? 0;
  const span = (arrivals.at(-1)?.at ?? 0) - from + 1000;
  const stepMs = engine.stepBaseMs + engine.stepPerRequestMs * slots;
  let left = decodes * slots * span;
  const needs = arrivals
    .map((one) => one.outputTokens * stepMs)
    .sort((a, b) => a - b);
  let served = 0;
  for (const need of needs) {
    left -= need;
    if (left < 0) break;
    served += 1;
  }
  return served / arrivals.length;
}
