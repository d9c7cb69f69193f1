#!/usr/bin/env node
/**
 * Measures what hosts with little processor time serve while one of them gets
 * most new connections.
 */
import { Option } from "commander";
import { makeCommand } from "../../src/programs/common/command.ts";
import type { CallResult } from "./call.ts";
import {
  callerHosts,
  type FleetHost,
  limitHosts,
  readMetric,
} from "./fleet.ts";
import {
  isClosedUnread,
  type OpenCall,
  runOpenCallers,
} from "./open_callers.ts";
import { isServed, withFleet } from "./test_fleet.ts";
import { ROUTE_TIMEOUT_MS } from "./world_config.ts";

/** A response this long after its route's timeout was held. */
const HELD_MS = 500;
const PHASE_MS = 10_000;
const SETTLING_MS = 4000;

type Flags = {
  readonly share: number;
  readonly rate: number;
  readonly hosts: number;
  readonly hot: number;
  readonly metrics: string;
};

const command = makeCommand(
  "otterhill-measure-hot-host",
  "Measures hosts with little processor time while one gets most connections.",
)
  .addOption(
    new Option("--share <cores>", "processor time of a host").default(0.324)
      .argParser(Number),
  )
  .addOption(
    new Option("--rate <count>", "requests a second").default(160)
      .argParser(Number),
  )
  .addOption(
    new Option("--hosts <count>", "hosts").default(4).argParser(Number),
  )
  .addOption(
    new Option("--hot <host>", "the hot host, from 0").default(0)
      .argParser(Number),
  )
  .addOption(
    new Option("--metrics <pattern>", "metrics to print").default("loop|shed"),
  )
  .parse();
const flags = command.opts<Flags>();

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round(sorted[Math.floor(share * (sorted.length - 1))] ?? -1);
}

function durationOf({ sentAtMs, endedAtMs }: CallResult): number {
  return endedAtMs - sentAtMs;
}

function describe(name: string, calls: readonly CallResult[]): string {
  const read = calls.filter((call) => !isClosedUnread(call));
  const served = read.filter(isServed);
  const durations = read.map(durationOf);
  const timedOut = durations.filter((ms) => ms >= ROUTE_TIMEOUT_MS);
  const held = durations.filter((ms) => ms >= ROUTE_TIMEOUT_MS + HELD_MS);
  const statuses = new Map<number, number>();
  for (const { status } of read) {
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  }
  return `  ${name}: ${calls.length} tries, ` +
    `${calls.length - read.length} closed unread, ` +
    `${served.length} of ${read.length} served, ` +
    `median ${quantile(durations, 0.5)} ms, 99% ${quantile(durations, 0.99)}` +
    ` ms, timed out ${timedOut.length}, held ${held.length}, statuses ` +
    [...statuses].map(([status, count]) => `${status}:${count}`).join(" ");
}

function report(phase: string, calls: readonly OpenCall[], hot: string): void {
  const tries = calls.flatMap((call) => call.tries);
  const last = calls.flatMap((call) => call.tries.slice(-1));
  const isHot = ({ host }: CallResult) => host === hot;
  console.log(`${phase}: ${calls.length} requests`);
  console.log(describe("in the end", last));
  console.log(describe("hot host", tries.filter(isHot)));
  console.log(describe("others", tries.filter((call) => !isHot(call))));
}

async function printMetrics(hosts: readonly FleetHost[]): Promise<void> {
  for (const host of hosts) {
    const lines = await readMetric(host, new RegExp(flags.metrics));
    console.log(`  ${host.process.name}: ${lines.join("; ")}`);
  }
}

await withFleet(async ({ hosts: fleet }) => {
  const limit = limitHosts(fleet, flags.share);
  const hosts = callerHosts(fleet);
  const hot = fleet[flags.hot]?.process.name ?? "";
  const phase = async (name: string, isHot: boolean) => {
    const calls = await runOpenCallers({
      hosts,
      seed: 1,
      requestsPerSecond: flags.rate,
      forMs: PHASE_MS,
      ...(isHot && { hotHost: hot }),
    });
    const [first] = calls;
    const fromMs = (first?.sentAtMs ?? 0) + SETTLING_MS;
    report(name, calls.filter(({ sentAtMs }) => sentAtMs >= fromMs), hot);
    await printMetrics(fleet);
  };
  await phase("spread", false);
  await phase("hot", true);
  await phase("spread again", false);
  await limit.end();
}, { hosts: flags.hosts });
process.exit(0);
