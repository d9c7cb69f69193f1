/**
 * Checks against the engines' actual state whether a refused request could have
 * been served.
 */
import { type Engine, hitBlocks } from "../../src/standins/engine/mod.ts";
import { callerRequest, type CallRecord } from "../../test/fake/callers.ts";
import type { FakeFleet } from "../../test/fake/fleet.ts";

/** The concurrent requests that an engine decodes within 35 ms per token. */
const MAX_RUNNING = 40;
/** The first decode step including the network delay. */
const STEP_MS = 35;

/** Returns the time of the prompt's prefill at an engine. */
function prefillTimeMs(
  engine: Engine,
  promptTokens: number,
  prefixes: readonly number[],
): number {
  const { prefillRate, blockTokens } = engine.parameters;
  const hits = hitBlocks(engine.cache, prefixes) * blockTokens;
  return (promptTokens - hits) / prefillRate * 1000;
}

/**
 * Returns the earliest time of the first token if an engine prefills the
 * prompt.
 */
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
  const startAt = Math.max(now, engine.runningPrefill?.endsAt ?? 0);
  const prefilledAt = startAt + queued / prefillRate * 1000 +
    prefillTimeMs(engine, promptTokens, prefixes);
  const linkAt = Math.max(engine.linkFreeAt, prefilledAt);
  return linkAt + promptTokens * transferMsPerToken + STEP_MS;
}

/** Whether the first token of a request could have arrived within `leftMs`. */
export function couldServe(
  fleet: FakeFleet,
  callRecord: CallRecord,
  leftMs: number,
): boolean {
  const { now } = fleet;
  const { prefixes, promptTokens } = callerRequest(
    callRecord.id,
    callRecord.call,
  );
  const upstreams = [...fleet.upstreams.values()];
  const hasFreeSlot = upstreams.some(({ layout, engine }) => {
    const inUse = engine.running.size + engine.fetching.size;
    return layout.role === "decode" && inUse < MAX_RUNNING;
  });
  if (!hasFreeSlot) return false;
  const engines = upstreams
    .filter(({ layout }) => layout.role === "prefill")
    .map(({ engine }) => engine);
  const aheadMs = queuedWorkMs(fleet, engines);
  return engines.some((engine) => {
    const at = firstTokenAt(engine, promptTokens, prefixes, now);
    return at - now + aheadMs <= leftMs;
  });
}

/**
 * Returns the time that the prefill engines need for the requests queued at
 * planners.
 */
function queuedWorkMs(fleet: FakeFleet, engines: readonly Engine[]): number {
  let waitMs = 0;
  for (const { world } of fleet.hosts.values()) {
    const perToken = world.options.transferMsPerToken;
    for (const queue of world.plans.asks.values()) {
      for (const { ask } of queue.values()) {
        const minMs = Math.min(
          ...engines.map((engine) =>
            prefillTimeMs(engine, ask.promptTokens, ask.prefixes)
          ),
        );
        waitMs += Math.max(minMs, ask.promptTokens * perToken);
      }
    }
  }
  return waitMs / engines.length;
}
