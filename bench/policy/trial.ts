/** Runs one trial: a policy and a workload at a load, with a disturbance. */
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
import { FakeFleet } from "../../test/fake/fleet.ts";
import { customerRow } from "../../test/fake/seed_rows.ts";
import { writeRows } from "../../src/standins/platform/model.ts";
import {
  type Arrival,
  capacityOf,
  drawArrivals,
  sharedTokensOf,
} from "./arrivals.ts";
import { upperBoundOf } from "./bound.ts";
import { DISTURBANCES } from "./disturbances.ts";
import { Tally, type TallyResult } from "./tally.ts";
import {
  armor,
  armorLarge,
  armorSkewed,
  forum,
  paper,
  type Workload,
} from "./workloads.ts";

/** Options of {@link runTrial}. */
export type TrialOptions = {
  readonly workload: keyof typeof WORKLOADS;
  readonly policy: string;
  readonly load: number;
  readonly disturbance: string;
  readonly hosts: number;
  readonly seed: number;
  readonly spanMs: number;
};

/** The result of a trial, with its options. */
export type TrialResult = TrialOptions & TallyResult & {
  /** The upper bound on the share of requests on time. */
  readonly bound: number;
};

const WORKLOADS = {
  armor,
  "armor 6 + 2": armorSkewed,
  "armor x 4": armorLarge,
  forum,
  paper,
};
const WARM_UP_MS = 12_000;
const DRAIN_MS = 20_000;
const SETTLE_MS = 6000;

/** Returns a policy by name; "name:number" sets a parameter. */
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

function optionsOf(
  options: TrialOptions,
  workload: Workload,
): Partial<Options> {
  const isPredictedCost = options.policy.startsWith("cost");
  // Baselines wait for requests that they have sent: abandoning them would only
  // lower their results.
  const slack = isPredictedCost
    ? {}
    : { prefillSlackMs: 60_000, transferSlackMs: 60_000 };
  const [kind, parameter] = options.policy.split(":");
  const polls = kind === "cost-poll" ? { loadPollMs: Number(parameter) } : {};
  const pools = kind === "cost-pools"
    ? { poolUpstreams: Number(parameter) }
    : {};
  return {
    ...slack,
    ...pools,
    ...polls,
    planAlone: options.policy === "cost-alone",
    transferMsPerToken: workload.engine.transferMsPerToken,
  };
}

export function runTrial(options: TrialOptions): TrialResult {
  const disturbance = DISTURBANCES[options.disturbance];
  if (!disturbance) throw new Error(`No disturbance ${options.disturbance}`);
  const createWorkload = WORKLOADS[options.workload];
  const workload: Workload = createWorkload(options.hosts, disturbance.engine);
  const fleet = new FakeFleet({
    layout: workload.layout,
    seed: options.seed,
    policy: policyOf(options.policy),
    options: optionsOf(options, workload),
  });
  writeRows(fleet.platform, [customerRow("paper", { first_token_ms: 4000 })]);
  if (options.policy === "cost-split") enableDynamicSplit(fleet, workload);
  warmCaches(fleet, workload);
  const rate = capacityOf(workload) * options.load;
  const span = WARM_UP_MS + options.spanMs;
  const arrivals = drawArrivals(workload, rate, span, options.seed);
  const tally = new Tally(fleet);
  fleet.onOrder = (host, order) => tally.noteOrder(host, order);
  fleet.onPrefilled = (attempt, tokens) => tally.notePrefill(attempt, tokens);
  scheduleCalls(
    fleet,
    workload,
    arrivals,
    options.seed,
    disturbance.cancelShare,
  );
  disturbance.schedule(fleet, SETTLE_MS + WARM_UP_MS, options.spanMs);
  fleet.queue.push(SETTLE_MS + WARM_UP_MS, () => tally.start());
  fleet.runUntil(SETTLE_MS + span + DRAIN_MS);
  const counted = arrivals.filter((arrival) => arrival.at >= WARM_UP_MS);
  return {
    ...options,
    ...tally.result(counted.length, options.spanMs),
    bound: upperBoundOf(workload, counted),
  };
}

/** Lets the split between prefill and decode follow the load. */
function enableDynamicSplit(fleet: FakeFleet, workload: Workload): void {
  const key = `settings/split/${workload.service}`;
  writeRows(fleet.platform, [{ key, value: "{}" }]);
}

/** Fills the prefix caches as in a fleet that has run for some time. */
function warmCaches(fleet: FakeFleet, workload: Workload): void {
  const prefills = [...fleet.upstreams.values()]
    .filter((upstream) => upstream.layout.role === "prefill");
  for (const kind of workload.kinds) {
    for (let group = kind.groups - 1; group >= 0; group -= 1) {
      const tokens = sharedTokensOf(kind, group);
      const { prefixes } = callerRequest("", {
        host: "",
        text: "",
        prefix: `${kind.name}-group-${group}`,
        prefixTokens: tokens,
        promptTokens: tokens,
      });
      const upstream = prefills[group % prefills.length];
      if (upstream) storeBlocks(upstream.engine.cache, prefixes);
    }
  }
}

function scheduleCalls(
  fleet: FakeFleet,
  workload: Workload,
  arrivals: readonly Arrival[],
  seed: number,
  cancelShare: number,
): void {
  for (const [number, arrival] of arrivals.entries()) {
    fleet.queue.push(SETTLE_MS + arrival.at, () => {
      // The load balancer sends nothing to a host that is down.
      const hosts = [...fleet.hosts.values()]
        .filter((host) => host.alive)
        .map((host) => host.id);
      const callRecord = fleet.call({
        host: hosts[(number * 7 + seed) % hosts.length] ?? "",
        customer: arrival.kind.customer,
        service: workload.service,
        text: `${arrival.kind.name}-${number}`,
        prefix: `${arrival.kind.name}-group-${arrival.group}`,
        prefixTokens: arrival.sharedTokens,
        promptTokens: arrival.promptTokens,
        outputTokens: arrival.outputTokens,
      });
      const disconnects = (number * 31 + seed) % 100 < cancelShare * 100;
      if (disconnects) {
        fleet.after(150 + number % 700, () => fleet.cancelCall(callRecord));
      }
    });
  }
}
