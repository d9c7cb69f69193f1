/** npm run bench:policy: compares planner policies under load and faults. */
import { execFileSync } from "node:child_process";
import { parseArgs } from "node:util";
import { writeSection } from "../report.ts";
import { DISTURBANCES } from "./disturbances.ts";
import { runTrials } from "./pool.ts";
import { COLUMNS, formatCells, groupBy, table } from "./tables.ts";
import type { TrialOptions, TrialResult } from "./trial.ts";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "2" },
    seconds: { type: "string", default: "40" },
    only: { type: "string" },
  },
});
const COMMIT = commit();
const SEEDS = Array.from({ length: Number(values.seeds) }, (_, n) => n + 1);
const DURATION_MS = Number(values.seconds) * 1000;
const WORKLOADS = ["armor", "forum", "paper"] as const;
const LOADS = [0.5, 0.8, 1.0, 1.2, 1.5];
const POLICIES = [
  "round-robin",
  "least-loaded",
  "always-sticky",
  "sticky-tau:20000",
  "cost",
];
const SWEEP = [
  "sticky-tau:5000",
  "sticky-tau:20000",
  "sticky-tau:80000",
  "sticky-tau:280000",
  "cost-charge:0",
  "cost-charge:0.25",
  "cost-charge:0.5",
  "cost-charge:1",
  "cost-charge:2",
  "cost-ahead:0",
  "cost-ahead:20",
  "cost-ahead:60",
  "cost-ahead:200",
  "cost-ahead:100000",
  "cost-keeps",
];

type Section = {
  readonly name: string;
  readonly title: string;
  readonly trials: readonly Omit<TrialOptions, "seed" | "spanMs">[];
  readonly row: (result: TrialResult) => string;
  readonly rowTitle: string;
  /** The virtual time of each trial, if not the default. */
  readonly spanMs?: number;
};

const DEFAULTS = { disturbance: "none", hosts: 9 };

const SECTIONS: readonly Section[] = [
  {
    name: "policies",
    title: "Policies side by side",
    trials: WORKLOADS.flatMap((workload) =>
      LOADS.flatMap((load) =>
        POLICIES.map((policy) => ({ workload, load, policy, ...DEFAULTS }))
      )
    ),
    rowTitle: "workload, load, policy",
    row: (result) => `${result.workload}, ${result.load}, ${result.policy}`,
  },
  {
    name: "sweep",
    title: "Parameters swept, at load 1.0",
    trials: WORKLOADS.flatMap((workload) =>
      SWEEP.map((policy) => ({ workload, load: 1, policy, ...DEFAULTS }))
    ),
    rowTitle: "workload, policy:parameter",
    row: (result) => `${result.workload}, ${result.policy}`,
  },
  {
    name: "disturbances",
    title: "Ours under disturbances, at load 0.8",
    trials: (["armor", "forum"] as const).flatMap((workload) =>
      Object.keys(DISTURBANCES).flatMap((disturbance) =>
        ["cost", "sticky-tau:20000"].map((policy) => ({
          workload,
          load: 0.8,
          policy,
          disturbance,
          hosts: 9,
        }))
      )
    ),
    rowTitle: "workload, disturbance, policy",
    row: (result) =>
      `${result.workload}, ${result.disturbance}, ${result.policy}`,
  },
  {
    name: "split",
    title: "The split fixed, or following the load (90 s)",
    spanMs: 90_000,
    trials: (["armor", "armor 6 + 2"] as const).flatMap((workload) =>
      [0.8, 1.5].flatMap((load) =>
        ["cost", "cost-split"].map((policy) => ({
          workload,
          load,
          policy,
          ...DEFAULTS,
        }))
      )
    ),
    rowTitle: "workload, load, policy",
    row: (result) => `${result.workload}, ${result.load}, ${result.policy}`,
  },
  {
    name: "pools",
    title: "One pool of 32 upstreams, or several",
    trials: [0.8, 1.0].flatMap((load) =>
      ["cost-pools:32", "cost-pools:16", "cost-pools:8", "cost-pools:4"]
        .map((policy) => ({
          workload: "armor x 4" as const,
          load,
          policy,
          ...DEFAULTS,
        }))
    ),
    rowTitle: "workload, load, upstreams of a pool",
    row: (result) => `${result.workload}, ${result.load}, ${result.policy}`,
  },
  {
    name: "hosts",
    title: "Many hosts: one planner, or each host alone",
    trials: WORKLOADS.flatMap((workload) =>
      [0.8, 1.0].flatMap((load) => [
        { workload, load, policy: "cost", disturbance: "none", hosts: 1 },
        { workload, load, policy: "cost", disturbance: "none", hosts: 9 },
        { workload, load, policy: "cost-alone", disturbance: "none", hosts: 9 },
      ])
    ),
    rowTitle: "workload, load, policy, hosts",
    row: (result) =>
      `${result.workload}, ${result.load}, ${result.policy}, ${result.hosts} hosts`,
  },
];

for (const section of SECTIONS) {
  if (values.only !== undefined && values.only !== section.name) continue;
  const trials = section.trials.flatMap((trial) =>
    SEEDS.map((seed) => ({
      ...trial,
      seed,
      spanMs: section.spanMs ?? DURATION_MS,
    }))
  );
  const results = await runTrials(trials);
  const groups = groupBy(results, section.row);
  const rows = [...groups].map((
    [name, group],
  ) => [name, ...formatCells(group)]);
  const text = table([section.rowTitle, ...COLUMNS], rows);
  console.log(`\n${section.title}\n${text}`);
  writeSection(
    "docs/MEASUREMENTS.md",
    section.name,
    [
      `## ${section.title}`,
      "",
      `Written by \`npm run bench:policy\`, seeds ${SEEDS.join(", ")}, ` +
      `${values.seconds} s of virtual time each, at commit ${COMMIT}.`,
      "",
      text,
    ].join("\n"),
  );
}

function commit(): string {
  const args = ["describe", "--always", "--dirty"];
  return execFileSync("git", args, { encoding: "utf8" }).trim();
}
