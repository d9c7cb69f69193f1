/** What a scenario can expect. */
import { setupOf } from "../../src/core/mod.ts";
import { plainAnswer } from "../../src/standins/plain/model.ts";
import type { CallRecord } from "../fake/callers.ts";
import { callNamed, type Stage } from "./actions.ts";

/** The reason why it does not hold; undefined when it does. */
type Expectation = (
  stage: Stage,
  words: readonly string[],
) => string | undefined;

/** Every kind of `expect`, by its first word. */
export const EXPECTATIONS: Readonly<Record<string, Expectation>> = {
  answered: (stage, [name]) => {
    const got = callNamed(stage, name);
    if (!got.isComplete) return `not whole (${got.error ?? "no end"})`;
    return answerFault(got);
  },
  "one-attempt": (stage, [name]) => wordsFault(callNamed(stage, name)),
  error: (stage, [name, kind]) => {
    const got = callNamed(stage, name);
    return same(got.error ?? (got.isComplete ? "whole" : "no end"), kind);
  },
  ran: (stage, [name, ...words]) =>
    same(callNamed(stage, name).ran ?? "", words.join(" ")),
  "answered-at-most-once": (stage, [key]) => {
    const whole = [...stage.calls.values()]
      .filter((one) => one.call.callerKey === key && one.isComplete);
    return whole.length <= 1 ? undefined : `${whole.length} whole answers`;
  },
  within: (stage, [name, limit]) => {
    const got = callNamed(stage, name);
    const span = (got.endedAt ?? Infinity) - got.sentAt;
    return span <= Number(limit) ? undefined : `took ${span} ms`;
  },
  "come-back": (stage, [name]) => {
    const got = callNamed(stage, name);
    return got.retryAfterSeconds === undefined ? "no time given" : undefined;
  },
  held: (stage, [what]) => {
    if (what !== "nothing") return `expected "nothing", got "${what}"`;
    const holding = [...stage.fleet.upstreams.values()]
      .filter((one) => one.held().length > 0)
      .map((one) => `${one.layout.id}: ${one.held().join(" ")}`);
    return holding.length === 0 ? undefined : holding.join("; ");
  },
  runs: (stage, [text, count]) => {
    const runs = runsOf(stage, text ?? "");
    return same(String(runs), count);
  },
  "runs-at-most": (stage, [text, most]) => {
    const runs = runsOf(stage, text ?? "");
    return runs <= Number(most) ? undefined : `${runs} runs`;
  },
  idle: (stage, [upstream, span]) => {
    const { fleet } = stage;
    const idleMs = fleet.now - fleet.upstream(upstream ?? "").lastStartAt;
    const fits = idleMs >= Number(span);
    return fits ? undefined : `took work ${idleMs.toFixed(0)} ms ago`;
  },
  empty: (stage, [upstream]) => {
    const left = stage.fleet.upstream(upstream ?? "").held();
    return left.length === 0 ? undefined : left.join(" ");
  },
  prefills: (stage, [service, count]) => {
    const prefills = [...stage.fleet.upstreams.values()]
      .filter(({ layout: laid }) => laid.service === service)
      .filter(({ layout: laid, engine }) =>
        (engine.role ?? laid.role) === "prefill"
      );
    return same(String(prefills.length), count);
  },
  "orders-by": (stage, [upstream, ...hosts]) => {
    const orders = stage.fleet.upstream(upstream ?? "").orders;
    const by = new Set(orders.map((one) => one.from));
    return same([...by].join(" "), hosts.join(" "));
  },
  "orders-fenced": (stage) => {
    const wrong = [...stage.fleet.upstreams.values()].filter(({ orders }) =>
      orders.some((one, place) => one.fence < (orders[place - 1]?.fence ?? 0))
    );
    return wrong.length === 0 ? undefined : wrong[0]?.layout.id;
  },
  "lease-of": ({ fleet }, [pool, host]) => {
    const row = fleet.platform.rows.get(`leases/region/${pool}`);
    return same(row?.value?.split("/")[0] ?? "", host);
  },
  publish: (stage, [name, outcome]) => {
    const published = stage.published.get(name ?? "");
    if (outcome !== "resolved") return same(published?.type ?? "", outcome);
    const resolved = published?.type === "accepted" && published.resolved;
    return resolved ? undefined : JSON.stringify(published);
  },
  priority: (stage, words) => expectPriority(stage, words),
  "all-settled": (stage) => {
    const open = [...stage.calls]
      .filter(([, got]) => got.endedAt === undefined && !got.isCancelled)
      .filter(([, got]) => !got.isInterrupted)
      .map(([name]) => name);
    return open.length === 0 ? undefined : `open: ${open.join(" ")}`;
  },
};

function same(got: string, expected: string | undefined): string | undefined {
  return got === expected ? undefined : `got "${got}"`;
}

/** Why a call's answer is not whole and its own; undefined when it is. */
export function answerFault(got: CallRecord): string | undefined {
  const { text, kind, outputTokens = 40 } = got.call;
  if (kind === "plain") {
    return got.text === plainAnswer(text) ? undefined : "not its own answer";
  }
  const words = got.text.split(" ").slice(0, -1);
  if (words.length !== outputTokens) return `${words.length} words`;
  return wordsFault(got);
}

/** Why what a call got is not part of one attempt's answer to it. */
export function wordsFault(got: CallRecord): string | undefined {
  const words = got.text.split(" ").slice(0, -1);
  const marks = new Set(words.map((word) => word.split("~")[1]));
  if (marks.size > 1) return "words of several attempts";
  const wrong = words.findIndex((word, place) =>
    word.split("~")[0] !== `${got.call.text}.${place}`
  );
  return wrong < 0 ? undefined : `word ${wrong} is "${words[wrong]}"`;
}

/** Times that a plain call's text ran, by the services' own record. */
export function runsOf(stage: Pick<Stage, "fleet">, text: string): number {
  let runs = 0;
  for (const upstream of stage.fleet.upstreams.values()) {
    runs += upstream.plainRunCounts.get(text) ?? 0;
  }
  return runs;
}

/** expect priority CUSTOMER NUMBER [on HOST...]: on all hosts that run. */
function expectPriority(
  stage: Stage,
  [customer = "", number, , ...names]: readonly string[],
): string | undefined {
  const hosts = [...stage.fleet.hosts.values()]
    .filter((host) => host.alive && !host.isSuspended)
    .filter((host) => names.length === 0 || names.includes(host.id));
  const wrong = hosts.flatMap((host) => {
    const setup = setupOf(host.world.settings, customer);
    const its = setup?.priority ?? "none";
    return its === Number(number) ? [] : [`${host.id}: ${its}`];
  });
  return wrong.length === 0 ? undefined : wrong.join(", ");
}
