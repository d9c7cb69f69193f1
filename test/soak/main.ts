#!/usr/bin/env node
/**
 * The command line of the fault soak: runs new seeds and the regression seeds.
 */
import { Option } from "commander";
import PQueue from "p-queue";
import { makeCommand } from "../../src/programs/common/command.ts";
import { REGRESSIONS } from "./regressions.ts";
import type { ScheduleOptions } from "./draw_faults.ts";
import { formatEarlyHangups } from "./own_ends.ts";
import { type Outcome, runSoak } from "./run.ts";
import { createSchedule } from "./schedule.ts";

/** Faults start within this time of a run. */
const FAULT_WINDOW_MS = 10_000;

type Flags = {
  readonly seeds: number;
  readonly first?: number;
  readonly jobs: number;
  readonly regressions: boolean;
  readonly oddRows: boolean;
  readonly outOfStep: "all" | "only" | "none";
  readonly lifecycle: "all" | "only" | "none";
};

const parseInteger = (text: string) => Number.parseInt(text, 10);
const command = makeCommand(
  "otterhill-soak",
  "Injects random faults into real processes and checks the guarantees.",
)
  .addOption(
    new Option("--seeds <count>", "number of runs").default(50)
      .argParser(parseInteger),
  )
  .addOption(
    new Option("--first <seed>", "first seed; random by default")
      .argParser(parseInteger),
  )
  .addOption(
    new Option("--jobs <count>", "concurrent runs").default(3)
      .argParser(parseInteger),
  )
  .option("--no-regressions", "leave out the regression seeds")
  .addOption(
    new Option("--out-of-step <faults>", "hosts that are out of step")
      .choices(["all", "only", "none"]).default("all"),
  )
  .addOption(
    new Option("--lifecycle <faults>", "disrupted starts and stops of hosts")
      .choices(["all", "only", "none"]).default("all"),
  )
  .option("--no-odd-rows", "leave out odd rows among those of the replicas")
  .parse();
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.on(signal, () => process.exit(1));
}
const flags = command.opts<Flags>();
const first = flags.first ?? Math.floor(Math.random() * 1e9);
const fresh = Array.from({ length: flags.seeds }, (_, at) => first + at);
const known = flags.regressions
  ? REGRESSIONS.map((regression) => regression.seed)
  : [];
const queue = new PQueue({ concurrency: flags.jobs });
const outcomes = await Promise.all(
  [...known, ...fresh].map((seed) =>
    queue.add(async () => {
      const isFirstKindsOnly = known.includes(seed);
      const schedule = createSchedule({
        seed,
        windowMs: FAULT_WINDOW_MS,
        isFirstKindsOnly,
        hasSleeps: true,
        hasOddRows: flags.oddRows,
        hasOutOfStepHosts: flags.outOfStep !== "none",
        hasLifecycleFaults: flags.lifecycle !== "none",
        only: onlyFaults(flags),
      });
      const outcome = await runSoak(schedule);
      console.log(formatOutcome(outcome));
      return outcome;
    })
  ),
);
const failed = outcomes.filter((outcome) =>
  outcome && outcome.violations.length > 0
);
console.log(
  `${outcomes.length - failed.length} passed, ${failed.length} failed`,
);
process.exit(failed.length > 0 ? 1 : 0);

function onlyFaults({ lifecycle, outOfStep }: Flags): ScheduleOptions["only"] {
  if (lifecycle === "only") return "lifecycle";
  return outOfStep === "only" ? "outOfStep" : undefined;
}

function formatOutcome(outcome: Outcome): string {
  const { schedule, violations, requests, served, folder, delays } = outcome;
  const share = `${served}/${requests} served`;
  const { earlyHangups } = outcome;
  const hangups = earlyHangups > 0
    ? `; ${formatEarlyHangups(earlyHangups)}`
    : "";
  const summary =
    `seed ${schedule.seed}: ${schedule.hosts} hosts, ${share}${hangups}`;
  if (violations.length === 0) return summary;
  const faultTexts = schedule.faults.map((fault) =>
    `${fault.kind} ${fault.target} at ${fault.atMs} for ${fault.durationMs}`
  );
  const violationLines = violations.slice(0, 8)
    .map((violation) => `  ${violation.rule}: ${violation.detail}`);
  return [
    `${summary}; BROKEN, logs in ${folder}`,
    `  delays of the event loop: ${delays}`,
    ...violationLines,
    `  ${faultTexts.join("; ")}`,
  ]
    .join("\n");
}
