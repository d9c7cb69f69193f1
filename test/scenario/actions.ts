/** What a scenario can make happen. */
import type { ListEntry, Options } from "../../src/core/mod.ts";
import { checkCustomer } from "../../src/operators/checks.ts";
import { publish, type PublishOutcome } from "../../src/operators/publish.ts";
import type { Store, StoredRow } from "../../src/operators/store.ts";
import {
  putHosts,
  readRows,
  writeRows,
} from "../../src/standins/platform/model.ts";
import type { Call, CallRecord } from "../fake/callers.ts";
import { FakeFleet } from "../fake/fleet.ts";
import { smallLayout } from "../fake/layout.ts";
import { type Line, timeOf } from "./parse.ts";

/** What a running scenario knows. */
export type Stage = {
  fleet: FakeFleet;
  readonly calls: Map<string, CallRecord>;
  readonly edits: Map<string, StoredRow | undefined>;
  readonly published: Map<string, PublishOutcome>;
  readonly options: Partial<Options>;
};

/** A scenario's start: three halls, two hosts in each. */
export function newStage(options: Partial<Options>): Stage {
  return {
    fleet: newFleet(2, options),
    calls: new Map(),
    edits: new Map(),
    published: new Map(),
    options,
  };
}

function newFleet(hostsPerHall: number, options: Partial<Options>): FakeFleet {
  return new FakeFleet({ layout: smallLayout(hostsPerHall), seed: 7, options });
}

type Action = (
  stage: Stage,
  words: readonly string[],
  line: Line,
) => void | Promise<void>;

/** Every verb but `expect`. */
export const ACTIONS: Readonly<Record<string, Action>> = {
  hosts: (stage, [count]) => {
    stage.fleet = newFleet(Number(count), stage.options);
  },
  pools: (stage, [upstreams]) => {
    const poolUpstreams = Number(upstreams);
    stage.fleet = newFleet(2, { ...stage.options, poolUpstreams });
  },
  call: (stage, words) => makeCall(stage, words),
  cancel: (stage, [name]) => stage.fleet.cancelCall(callNamed(stage, name)),
  kill: (stage, [host]) => stage.fleet.kill(host ?? ""),
  start: (stage, [host]) => stage.fleet.start(host ?? ""),
  freeze: (stage, [host]) => stage.fleet.setSuspended(host ?? "", true),
  thaw: (stage, [host]) => stage.fleet.setSuspended(host ?? "", false),
  cut: ({ fleet }, [a, b]) => fleet.network.cut(a ?? "", b ?? ""),
  heal: ({ fleet }, [a, b]) => fleet.network.restore(a ?? "", b ?? ""),
  platform: (stage, words, line) => changePlatform(stage, words, line),
  upstream: (stage, words, line) => changeUpstream(stage, words, line),
  stop: (stage, [upstream]) => planStop(stage, upstream ?? "", true),
  unstop: (stage, [upstream]) => planStop(stage, upstream ?? "", false),
  split: (stage, words) => setSplit(stage, words),
  edit: (stage, [name, customer]) => startEdit(stage, name, customer),
  publish: (stage, words, line) => commitEdit(stage, words, line),
};

/** The call of that name. */
export function callNamed(stage: Stage, name: string | undefined): CallRecord {
  const got = stage.calls.get(name ?? "");
  if (!got) throw new Error(`no call named "${name}"`);
  return got;
}

/** call NAME via HOST [once] [whole] [plain] [key K] [text T] ... */
function makeCall(stage: Stage, words: readonly string[]): void {
  const [name, , host, ...rest] = words;
  const flag = (word: string): boolean => rest.includes(word);
  const value = (word: string): string | undefined => {
    const place = rest.indexOf(word);
    return place < 0 ? undefined : rest[place + 1];
  };
  const number = (word: string): number | undefined => {
    const text = value(word);
    return text === undefined ? undefined : Number(text);
  };
  const plain = flag("plain");
  const call: Call = {
    host: host ?? "",
    text: value("text") ?? name ?? "",
    kind: plain ? "plain" : "completion",
    service: plain ? "reel-api" : "recap-llm",
    once: flag("once"),
    stream: !flag("whole"),
    ...optional("callerKey", value("key")),
    ...optional("customer", value("customer")),
    ...optional("promptTokens", number("prompt")),
    ...optional("outputTokens", number("output")),
    ...optional("patienceMs", number("patience")),
  };
  stage.calls.set(name ?? "", stage.fleet.call(call));
}

function optional<Key extends string, Value>(
  key: Key,
  value: Value | undefined,
): { [Name in Key]?: Value } {
  return value === undefined
    ? {}
    : { [key]: value } as { [Name in Key]: Value };
}

function changePlatform(
  { fleet }: Stage,
  [what, word]: readonly string[],
  line: Line,
): void {
  const { platform } = fleet;
  switch (what) {
    case "down":
      platform.down = true;
      return;
    case "up":
      platform.down = false;
      platform.slowMs = 0;
      return;
    case "slow":
      platform.slowMs = timeOf(word ?? "", line.number);
      return;
    case "loses":
      platform.loseWrites = Number(word);
      return;
    default:
      throw new Error(`line ${line.number}: platform can't "${what}"`);
  }
}

function changeUpstream(
  { fleet }: Stage,
  [name, what, word]: readonly string[],
  line: Line,
): void {
  const upstream = fleet.upstream(name ?? "");
  switch (what) {
    case "dies":
      return upstream.crash();
    case "restarts":
      return upstream.restart();
    case "leaves":
      return changeEntry(fleet, name, { leaving: true });
    case "stalls":
      upstream.engine.stalledUntil = fleet.now +
        timeOf(word ?? "", line.number);
      return;
    case "slows":
      upstream.engine.slowdown = Number(word);
      return;
    case "checks-nothing":
      upstream.checksOrders = false;
      return changeEntry(fleet, name, { checksOrders: false });
    case "loses-cancels":
      upstream.cancelsToDrop = Number(word);
      return;
    case "drops-cache-events":
      upstream.cacheEventLossRate = Number(word);
      return;
    default:
      throw new Error(`line ${line.number}: an upstream can't "${what}"`);
  }
}

function changeEntry(
  fleet: FakeFleet,
  name: string | undefined,
  change: Partial<ListEntry>,
): void {
  const entries = fleet.platform.list.entries
    .map((one) => one.id === name ? { ...one, ...change } : one);
  putHosts(fleet.platform, entries);
}

/** split SERVICE N: operators want N prefill upstreams; `load`: as needed. */
function setSplit(
  { fleet }: Stage,
  [service, word]: readonly string[],
): void {
  const split = word === "load" ? {} : { prefill: Number(word) };
  const key = `settings/split/${service}`;
  writeRows(fleet.platform, [{ key, value: JSON.stringify(split) }]);
}

function planStop({ fleet }: Stage, upstream: string, on: boolean): void {
  const value = on ? JSON.stringify({ author: "scenario" }) : null;
  writeRows(fleet.platform, [{ key: `settings/stop/${upstream}`, value }]);
}

/** The operators' way to the platform: it fails as the platform does. */
export function storeOf({ fleet }: Stage): Store {
  const { platform } = fleet;
  return {
    read: (prefix) => {
      if (platform.down) return Promise.reject(new Error("down"));
      return Promise.resolve(readRows(platform, prefix, 0));
    },
    write: (changes) => {
      if (platform.down) return Promise.resolve({ type: "lost" });
      const result = writeRows(platform, changes);
      if (platform.loseWrites > 0) {
        platform.loseWrites -= 1;
        return Promise.resolve({ type: "lost" });
      }
      if (!result.ok) {
        return Promise.resolve({ type: "conflict", keys: result.conflicts });
      }
      const { revision } = result;
      return Promise.resolve({ type: "written", revision });
    },
  };
}

/** edit NAME CUSTOMER: an operator reads a customer. */
async function startEdit(
  stage: Stage,
  name = "",
  customer = "",
): Promise<void> {
  const key = `settings/customer/${customer}`;
  const rows = await storeOf(stage).read(key);
  stage.edits.set(name, rows.find((one) => one.key === key));
}

/** publish NAME PARAMETER NUMBER: the operator publishes the edit. */
async function commitEdit(
  stage: Stage,
  [name = "", parameter = "", number]: readonly string[],
  line: Line,
): Promise<void> {
  const row = stage.edits.get(name);
  if (!row?.value) throw new Error(`line ${line.number}: nothing to edit`);
  const before = JSON.parse(row.value) as { parameters: object };
  const parameters = { ...before.parameters, [parameter]: Number(number) };
  const value = { ...before, parameters };
  const store = storeOf(stage);
  const checked = await checkCustomer(store, value);
  const outcome = await publish(store, {
    id: `${name}-${line.number}`,
    key: row.key,
    value: JSON.stringify(value),
    base: row.revision,
    author: name,
    at: stage.fleet.now,
    guards: checked.guards,
  });
  stage.published.set(name, outcome);
}
