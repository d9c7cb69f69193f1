/**
 * npm run bench:router: the latency that an entry host adds to direct calls of
 * the engine stand-in over loopback, and the throughput of one entry host.
 */
import { execFileSync } from "node:child_process";
import { table } from "../policy/tables.ts";
import { writeSection } from "../report.ts";
import { API_KEY, Processes } from "../../test/process/processes.ts";

const WARM_UP_RUNS = 100;
const RUNS = 400;
const LOAD_REQUESTS = 1500;
const CONCURRENCY = 32;

type Times = { readonly p50: number; readonly p95: number };

const fleet = new Processes();
await fleet.startFleet();
const engine = fleet.programs.get("decode-brest")?.addresses["address"] ?? "";
const { direct, routed, seconds, cpuSeconds } = await measure()
  .finally(() => fleet.stop());

const rows = [
  ["one token, engine directly, p50 / p95 ms", formatTimes(direct)],
  ["one token, by an entry host, p50 / p95 ms", formatTimes(routed)],
  ["added by the entry host, p50 ms", (routed.p50 - direct.p50).toFixed(2)],
  ["ratio of p50", (routed.p50 / direct.p50).toFixed(2)],
  [
    "requests a second, 32 at once, one entry host",
    (LOAD_REQUESTS / seconds).toFixed(0),
  ],
  [
    "requests a second of its processor time",
    (LOAD_REQUESTS / cpuSeconds).toFixed(0),
  ],
];
const text = table(["what", "measured"], rows);
console.log(text);
const args = ["describe", "--always", "--dirty"];
const commit = execFileSync("git", args, { encoding: "utf8" }).trim();
writeSection(
  "docs/MEASUREMENTS.md",
  "router",
  [
    "## The router over loopback",
    "",
    `Written by \`npm run bench:router\` at commit ${commit}: processes of ` +
    "`test/process`, one step of the engine stand-in is about 14 ms.",
    "",
    text,
  ].join("\n"),
);

/** Measures sequential requests, then concurrent ones. */
async function measure() {
  const direct = await timesOf(() => toEngine());
  const routed = await timesOf(() => toRouter());
  const before = cpuSecondsOf("brest-1");
  const start = performance.now();
  await sendLoad();
  const seconds = (performance.now() - start) / 1000;
  const cpuSeconds = cpuSecondsOf("brest-1") - before;
  return { direct, routed, seconds, cpuSeconds };
}

function body(): string {
  const prompt = "a goal in minute twelve";
  return JSON.stringify({ model: "recap-llm", prompt, max_tokens: 1 });
}

async function toEngine(): Promise<void> {
  const response = await fetch(`http://${engine}/v1/completions`, {
    method: "POST",
    headers: { "x-request-id": `bench-${Math.random()}` },
    body: body(),
  });
  await response.text();
}

async function toRouter(): Promise<void> {
  const response = await fetch(
    `http://${fleet.callers("brest")}/v1/completions`,
    {
      method: "POST",
      headers: { authorization: `Bearer ${API_KEY}` },
      body: body(),
    },
  );
  await response.text();
}

async function timesOf(run: () => Promise<void>): Promise<Times> {
  for (let n = 0; n < WARM_UP_RUNS; n += 1) await run();
  const times: number[] = [];
  for (let n = 0; n < RUNS; n += 1) {
    const from = performance.now();
    await run();
    times.push(performance.now() - from);
  }
  times.sort((a, b) => a - b);
  return { p50: times[RUNS * 0.5] ?? 0, p95: times[RUNS * 0.95] ?? 0 };
}

async function sendLoad(): Promise<void> {
  let left = LOAD_REQUESTS;
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (left > 0) {
      left -= 1;
      await toRouter();
    }
  }));
}

/** Returns the CPU time that a program has used, in seconds. */
function cpuSecondsOf(name: string): number {
  const pid = fleet.programs.get(name)?.child.pid;
  const args = ["-o", "cputimes=", "-p", String(pid)];
  return Number(execFileSync("ps", args, { encoding: "utf8" }));
}

function formatTimes(times: Times): string {
  return `${times.p50.toFixed(2)} / ${times.p95.toFixed(2)}`;
}
