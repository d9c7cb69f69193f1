/**
 * npm run bench:state: what simulated hosts send each other and call at the
 * store, by size of the fleet, with ten replicas a host.
 */
import {
  createLargeFleet,
  entryOf,
} from "../../test/gateway/state/large_fleet.ts";
import type { StateFleet } from "../../test/gateway/state/state_fleet.ts";

const SIZES = [30, 100, 300];
const HEARTBEAT_INTERVAL_MS = 20;
const CHANGE_INTERVAL_MS = 250;

/** A part of the run, in virtual time. */
type Phase = { readonly name: string; readonly untilMs: number };

const PHASES: readonly Phase[] = [
  { name: "first 2.5 s after a start", untilMs: 2500 },
  { name: "2.5 to 8 s", untilMs: 8000 },
  { name: "calm", untilMs: 18_000 },
  { name: "four changed replicas a second", untilMs: 28_000 },
];

function createFleet(size: number): StateFleet {
  const fleet = createLargeFleet(size);
  const { store } = fleet;
  const [start, , calm, changes] = PHASES;
  for (let at = 0; at < (start?.untilMs ?? 0); at += HEARTBEAT_INTERVAL_MS) {
    fleet.at(at, () => store.advanceRevision(3));
  }
  const changesUntil = changes?.untilMs ?? 0;
  for (
    let at = calm?.untilMs ?? 0;
    at < changesUntil;
    at += CHANGE_INTERVAL_MS
  ) {
    fleet.at(at, () => store.putReplica(entryOf(7, at)));
  }
  return fleet;
}

function processorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}

/** Runs a phase, and returns a row of the report. */
async function measure(
  fleet: StateFleet,
  { name, untilMs }: Phase,
): Promise<Record<string, string | number>> {
  const { store, traffic, hosts } = fleet;
  const seconds = (untilMs - fleet.now) / 1000;
  store.calls.clear();
  store.rejected = 0;
  traffic.reset();
  const startedAt = processorMs();
  await fleet.runTo(untilMs);
  const spentMs = processorMs() - startedAt;
  const calls = [...store.calls.values()].reduce((sum, n) => sum + n, 0);
  const { bytes, messages } = traffic.busiest;
  const total = [...traffic.kinds.values()]
    .reduce((sum, kind) => sum + kind.bytes, 0);
  const perSecond = (count: number) => Number((count / seconds).toFixed(1));
  return {
    hosts: hosts.length,
    phase: name,
    "busiest kB/s": perSecond(bytes / 1000),
    "messages/s": perSecond(messages),
    "mean kB/s": perSecond(2 * total / 1000 / hosts.length),
    "store calls/s": perSecond(calls),
    rejected: store.rejected,
    "processor ms/s a host": perSecond(spentMs / hosts.length),
  };
}

for (const size of SIZES) {
  const fleet = createFleet(size);
  const rows = [];
  for (const phase of PHASES) rows.push(await measure(fleet, phase));
  console.table(rows);
}
