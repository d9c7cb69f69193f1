/** Plays a schedule in a fake fleet and gives every broken promise. */
import type { Options } from "../../src/core/mod.ts";
import { putHosts, writeRows } from "../../src/standins/platform/model.ts";
import type { CallRecord } from "../fake/callers.ts";
import { FakeFleet } from "../fake/fleet.ts";
import { smallLayout } from "../fake/layout.ts";
import { PLATFORM } from "../fake/network.ts";
import { customerRow } from "../fake/seed_rows.ts";
import { checkEnd, watchSettings } from "./invariants.ts";
import type { Happening, Timed } from "./schedule.ts";

/** All faults have ended by then. */
const HEALED_MS = 60_000;
/** Everything must be settled by then. */
const END_MS = 110_000;
const PLACES = ["brest", "quimper", "lorient", PLATFORM];

/** Plays a schedule; the options may turn mechanisms off; more checks. */
export function play(
  schedule: readonly Timed[],
  options: Partial<Options> = {},
  more: (fleet: FakeFleet, calls: readonly CallRecord[]) => string[] = () => [],
): string[] {
  const fleet = new FakeFleet({ layout: smallLayout(2), seed: 11, options });
  const faults: string[] = [];
  watchSettings(fleet, faults);
  const calls: CallRecord[] = [];
  const ordered = [...schedule].sort((a, b) => a.at - b.at);
  for (const { at, what } of ordered) {
    fleet.queue.push(at, () => happen(fleet, calls, what));
  }
  fleet.queue.push(HEALED_MS, () => healAll(fleet));
  fleet.runUntil(END_MS);
  faults.push(...checkEnd(fleet, calls), ...more(fleet, calls));
  return faults;
}

function happen(fleet: FakeFleet, calls: CallRecord[], what: Happening): void {
  switch (what.type) {
    case "call":
      calls.push(makeCall(fleet, what));
      return;
    case "hangUp": {
      const got = calls[what.call];
      if (got) fleet.cancelCall(got);
      return;
    }
    case "kill": {
      const { id } = nth(fleet.hosts, what.host);
      fleet.kill(id);
      fleet.after(what.backMs, () => fleet.start(id));
      return;
    }
    case "freeze": {
      const { id } = nth(fleet.hosts, what.host);
      fleet.setSuspended(id, true);
      fleet.after(what.spanMs, () => fleet.setSuspended(id, false));
      return;
    }
    case "cut": {
      const [a, b] = [PLACES[what.a] ?? "", PLACES[what.b] ?? ""];
      if (a === b) return;
      fleet.network.cut(a, b);
      fleet.after(what.spanMs, () => fleet.network.restore(a, b));
      return;
    }
    default:
      return happenOutside(fleet, what);
  }
}

function happenOutside(
  fleet: FakeFleet,
  what: Exclude<Happening, {
    type: "call" | "hangUp" | "kill" | "freeze" | "cut";
  }>,
): void {
  const { platform } = fleet;
  switch (what.type) {
    case "platformDown":
      platform.down = true;
      return fleet.after(what.spanMs, () => platform.down = false);
    case "platformSlow":
      platform.slowMs = 700;
      return fleet.after(what.spanMs, () => platform.slowMs = 0);
    case "loseWrites":
      platform.loseWrites += what.count;
      return;
    case "upstreamDies": {
      const upstream = nth(fleet.upstreams, what.upstream);
      if (upstream.alive) upstream.crash();
      return fleet.after(what.backMs, () => {
        if (!upstream.alive) upstream.restart();
      });
    }
    case "stall":
      nth(fleet.upstreams, what.upstream).engine.stalledUntil = fleet.now +
        what.spanMs;
      return;
    case "loseCancels":
      nth(fleet.upstreams, what.upstream).cancelsToDrop += what.count;
      return;
    case "dropCache":
      nth(fleet.upstreams, what.upstream).cacheEventLossRate = 0.5;
      return;
    case "stop": {
      const { id } = nth(fleet.upstreams, what.upstream).layout;
      const key = `settings/stop/${id}`;
      if (fleet.platform.rows.get(key)?.value) return;
      writeRows(platform, [{ key, value: "{}" }]);
      return fleet.after(what.spanMs, () => {
        writeRows(platform, [{ key, value: null }]);
      });
    }
    case "split": {
      const value = JSON.stringify({ prefill: what.prefill });
      writeRows(platform, [{ key: "settings/split/recap-llm", value }]);
      return;
    }
    case "publish": {
      const { priority } = what;
      writeRows(platform, [customerRow("armor", { priority })]);
      return;
    }
  }
}

function nth<Value>(map: ReadonlyMap<string, Value>, place: number): Value {
  const all = [...map.values()];
  const value = all[place % all.length];
  if (value === undefined) throw new Error("Nothing to choose from");
  return value;
}

function makeCall(
  fleet: FakeFleet,
  what: Extract<Happening, { type: "call" }>,
): CallRecord {
  const { id } = nth(fleet.hosts, what.host);
  const { once, stream, promptTokens, outputTokens } = what;
  const callerKey = `${once ? "once" : "key"}-${what.key}`;
  const kind = once ? "plain" : "completion";
  return fleet.call({
    host: id,
    callerKey,
    text: callerKey,
    once,
    stream,
    kind,
    service: once ? "reel-api" : "recap-llm",
    promptTokens,
    outputTokens,
  });
}

function healAll(fleet: FakeFleet): void {
  fleet.network.restoreAll();
  fleet.platform.down = false;
  fleet.platform.slowMs = 0;
  putHosts(fleet.platform, fleet.platform.list.entries);
  for (const host of fleet.hosts.values()) {
    if (!host.alive) fleet.start(host.id);
    if (host.isSuspended) fleet.setSuspended(host.id, false);
  }
  for (const upstream of fleet.upstreams.values()) {
    if (!upstream.alive) upstream.restart();
    upstream.cancelsToDrop = 0;
  }
}
