/** One trial: a policy, a workload, a load and a disturbance. */
import {
  alwaysSticky,
  costChooser,
  leastLoaded,
  type Options,
  type Policy,
  predictedCost,
  roundRobin,
  stickyUntilSaturated,
} from "../../src/core/mod.ts";
import { storeBlocks } from "../../src/standins/engine/mod.ts";
import { callerRequest } from "../../test/fake/callers.ts";
import { Fleet } from "../../test/fake/fleet.ts";
import { customer } from "../../test/fake/seed_rows.ts";
import { writeRows } from "../../src/standins/platform/model.ts";
import { type Arrival, arrivalsOf, capacityOf, sharedOf } from "./arrivals.ts";
import { boundOf } from "./bound.ts";
import { DISTURBANCES } from "./disturbances.ts";
import { type Tallied, Tally } from "./tally.ts";
import {
  armor,
  armorLarge,
  armorSkewed,
  forum,
  paper,
  type Workload,
} from "./workloads.ts";

/** What to try. */
export type TrialSource = {
  readonly workload: keyof typeof WORKLOADS;
  readonly policy: string;
  readonly load: number;
  readonly disturbance: string;
  readonly hosts: number;
  readonly seed: number;
  readonly spanMs: number;
};

/** What a trial came to. */
export type TrialResult = TrialSource & Tallied & {
  /** Share of requests on time with perfect knowledge. */
  readonly bound: number;
};

const WORKLOADS = {
  armor,
  "armor 6 + 2": armorSkewed,
  "armor x 4": armorLarge,
  forum,
  paper,
};
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
  const [kind, parameter] = source.policy.split(":");
  const polls = kind === "cost-poll" ? { loadPollMs: Number(parameter) } : {};
  const pools = kind === "cost-pools"
    ? { poolUpstreams: Number(parameter) }
    : {};
  return {
    ...patience,
    ...pools,
    ...polls,
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
  if (source.policy === "cost-split") followLoad(fleet, workload);
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

/** The split between prefill and decode follows the load. */
function followLoad(fleet: Fleet, workload: Workload): void {
  const key = `settings/split/${workload.service}`;
  writeRows(fleet.platform, [{ key, value: "{}" }]);
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
  for (const [number, one] of arrivals.entries()) {
    fleet.queue.push(SETTLE_MS + one.at, () => {
      // The balancer sends nothing to a host that is gone.
      const hosts = [...fleet.hosts.values()]
        .filter((host) => host.alive)
        .map((host) => host.id);
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
