/** The letter's two-year size, worked out from the measured slopes. */
import { at } from "./measure.ts";
import type { Slope } from "./slopes.ts";

/** The letter's numbers. */
const TARGET = {
  nodes: 330,
  regions: 3,
  upstreams: 600,
  requests: 3800,
  tokens: 1_100_000,
  customers: 40_000,
  models: 22,
  changes: 3000,
};

/** Rates of the core's own schedule (src/core/options.ts). */
const TICKS = 50;
const GOSSIP_PER_SECOND = 1;
/** Told and told back, as measured in the gossip table. */
const GOSSIP_MESSAGES = 2.4;
const LOAD_POLLS = 4;
const CACHE_POLLS = 2;
const SWEEPS = 1 / 3;
const SETTINGS_POLLS = 1 / 3;
const LIST_POLLS = 1 / 2;
const KEEPS = 1 / 5;

/** Bytes of one HTTP/2 or HTTP/1.1 call around its payload, both ways. */
const CALL_BYTES = 250;
const LOAD_BYTES = 160;
const CACHE_EVENT_BYTES = 35;
const HELD_BYTES = 30;
/** Measured by bench:policy ("hosts" section): messages and bytes. */
const PLAN_MESSAGES = 7;
const PLAN_BYTES = 600;
/** Open requests of a node: rate times a mean stay of 9 s. */
const STAY_SECONDS = 9;
/** A busy model has this many times the mean rate. */
const SKEW = 4;
const PREFIX_BLOCKS = 40_000;

/** Rows of the page: quantity, value, limit. */
export function targetRows(slopes: readonly Slope[]): string[][] {
  const value = (name: string, over: string, x: number): number => {
    const found = slopes.find((one) => one.name === name && one.over === over);
    if (!found) throw new Error(`No slope ${name} over ${over}`);
    return at(found.line, x);
  };
  const hosts = TARGET.nodes / TARGET.regions;
  const perService = TARGET.upstreams / TARGET.regions / TARGET.models;
  const perNode = TARGET.requests / TARGET.nodes;
  const busy = TARGET.requests / TARGET.regions / TARGET.models * SKEW;
  const open = perNode * STAY_SECONDS;
  const digest = value("a digest", "hosts of a region", hosts);
  const digests = GOSSIP_PER_SECOND * GOSSIP_MESSAGES;
  const gossipBytes = digests * (digest + CALL_BYTES) * 2;
  const polls = perService * SKEW;
  const pollBytes = polls * (
    LOAD_POLLS * (LOAD_BYTES + CALL_BYTES) +
    CACHE_POLLS * CALL_BYTES +
    SWEEPS * (HELD_BYTES * 48 + CALL_BYTES)
  );
  const eventBytes = busy * 12 * CACHE_EVENT_BYTES;
  const planBytes = busy * (PLAN_BYTES + PLAN_MESSAGES * CALL_BYTES / 2);
  const keepBytes = open * KEEPS * 70 + busy * STAY_SECONDS * KEEPS * 70;
  const tickMicros = value("an idle tick", "hosts of a region", hosts) +
    value("an idle tick", "upstreams in the list", TARGET.upstreams) -
    value("an idle tick", "upstreams in the list", 24);
  const decision = value("a placement", "upstreams of a service", perService);
  const gossipMicros = value("reading a digest", "hosts of a region", hosts) *
    digests * 2;
  const ticks = tickMicros * TICKS;
  const plans = decision * busy;
  const share = (micros: number): string => `${(micros / 1e4).toFixed(2)}%`;
  const kilobytes = (bytes: number): string =>
    `${(bytes / 1000).toFixed(1)} KB/s`;
  const megabytes = (bytes: number): string => `${(bytes / 1e6).toFixed(1)} MB`;
  const settings = value("settings", "customers", TARGET.customers);
  const index = value("a prefix index", "blocks", PREFIX_BLOCKS);
  const chunk = value("passing a chunk on", "open requests", open);
  const chunks = TARGET.tokens / TARGET.nodes;
  const storeReads = TARGET.nodes * (SETTINGS_POLLS + LIST_POLLS);
  const control = ticks + gossipMicros + plans;
  const bytes = gossipBytes + pollBytes + eventBytes + planBytes + keepBytes;
  return [
    [
      "hosts of a region; upstreams of a service in a region",
      `${hosts.toFixed(0)}; ${perService.toFixed(1)}`,
      "",
    ],
    [
      "requests of a node; at a busy model's planner",
      `${perNode.toFixed(1)}/s; ${busy.toFixed(0)}/s`,
      "",
    ],
    ["core time: ticks", share(ticks), ""],
    ["core time: gossip", share(gossipMicros), ""],
    ["core time: placements of a busy model", share(plans), ""],
    [
      "core time: control together (core only, no sockets)",
      share(control),
      "2.2% of a core",
    ],
    [
      "core time: passing chunks on (data, not control)",
      share(chunk * chunks),
      "",
    ],
    ["bytes: gossip", kilobytes(gossipBytes), ""],
    ["bytes: polls of a busy model's upstreams", kilobytes(pollBytes), ""],
    ["bytes: cache events of a busy model", kilobytes(eventBytes), ""],
    ["bytes: planning of a busy model", kilobytes(planBytes), ""],
    ["bytes: renewals of grants", kilobytes(keepBytes), ""],
    [
      "bytes: control together, node that plans a busy model",
      kilobytes(bytes),
      "29 KB/s",
    ],
    [
      "bytes: control together, node that plans nothing",
      kilobytes(
        gossipBytes + open * KEEPS * 70 +
          perNode * (PLAN_BYTES + PLAN_MESSAGES * CALL_BYTES / 2),
      ),
      "29 KB/s",
    ],
    ["memory: settings of all customers", megabytes(settings), "128 MB in all"],
    [
      "memory: prefix indexes of a busy model",
      megabytes(index * perService / 2),
      "",
    ],
    ["store: reads by all nodes", `${storeReads.toFixed(0)}/s`, "2,000/s"],
    [
      "store: writes by publishes",
      `${(TARGET.changes / 86_400).toFixed(2)}/s`,
      "100/s",
    ],
    [
      "store: a node's start reads",
      `${TARGET.customers + TARGET.models} rows in one read`,
      "",
    ],
  ];
}
