/** Whether the engines, as they truly are, had room for a refused request. */
import { type Engine, hitBlocks } from "../../src/standins/engine/mod.ts";
import { callerRequest, type Got } from "../../test/fake/callers.ts";
import type { Fleet } from "../../test/fake/fleet.ts";

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

/** Whether a request could have had its first token in the time left. */
export function couldServe(fleet: Fleet, got: Got, leftMs: number): boolean {
  const { now } = fleet;
  const { prefixes, promptTokens } = callerRequest(got.id, got.call);
  const upstreams = [...fleet.upstreams.values()];
  const slot = upstreams.some(({ laid, engine }) => {
    const held = engine.running.size + engine.fetching.size;
    return laid.role === "decode" && held < SLOTS_IN_TIME;
  });
  if (!slot) return false;
  const engines = upstreams
    .filter(({ laid }) => laid.role === "prefill")
    .map(({ engine }) => engine);
  const aheadMs = waitingMs(fleet, engines);
  return engines.some((engine) => {
    const at = firstTokenAt(engine, promptTokens, prefixes, now);
    return at - now + aheadMs <= leftMs;
  });
}

/** Time that the work waiting at planners takes the prefill engines. */
function waitingMs(fleet: Fleet, engines: readonly Engine[]): number {
  let waitMs = 0;
  for (const { world } of fleet.hosts.values()) {
    const perToken = world.options.transferMsPerToken;
    for (const queue of world.plans.asks.values()) {
      for (const { ask } of queue.values()) {
        const least = Math.min(
          ...engines.map((engine) =>
            prefillMs(engine, ask.promptTokens, ask.prefixes)
          ),
        );
        waitMs += Math.max(least, ask.promptTokens * perToken);
      }
    }
  }
  return waitMs / engines.length;
}
