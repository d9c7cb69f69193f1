/**
 * npm run bench:router: what an entry host adds over loopback, against calling
 * the engine stand-in directly, and requests a second of one entry host.
 */
import { execFileSync } from "node:child_process";
import { table } from "../policy/tables.ts";
import { writeSection } from "../report.ts";
import { API_KEY, Processes } from "../../test/process/processes.ts";

const WARM = 100;
const RUNS = 400;
const FLOOD = 1500;
const AT_ONCE = 32;

type Times = { readonly p50: number; readonly p95: number };

const fleet = new Processes();
await fleet.startFleet();
const engine = fleet.programs.get("decode-brest")?.addresses["address"] ?? "";
const { direct, routed, seconds, cpuSeconds } = await measure()
  .finally(() => fleet.stop());

const rows = [
  ["one token, engine directly, p50 / p95 ms", pair(direct)],
  ["one token, by an entry host, p50 / p95 ms", pair(routed)],
  ["added by the entry host, p50 ms", (routed.p50 - direct.p50).toFixed(2)],
  ["ratio of p50", (routed.p50 / direct.p50).toFixed(2)],
  [
    "requests a second, 32 at once, one entry host",
    (FLOOD / seconds).toFixed(0),
  ],
  ["requests a second of its processor time", (FLOOD / cpuSeconds).toFixed(0)],
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

/** Times one by one, then a flood. */
async function measure() {
  const direct = await timesOf(() => toEngine());
  const routed = await timesOf(() => toRouter());
  const before = cpuOf("brest-1");
  const start = performance.now();
  await flood();
  const seconds = (performance.now() - start) / 1000;
  const cpuSeconds = cpuOf("brest-1") - before;
  return { direct, routed, seconds, cpuSeconds };
}

function body(): string {
  const prompt = "a goal in minute twelve";
  return JSON.stringify({ model: "recap-llm", prompt, max_tokens: 1 });
}

async function toEngine(): Promise<void> {
  const answer = await fetch(`http://${engine}/v1/completions`, {
    method: "POST",
    headers: { "x-request-id": `bench-${Math.random()}` },
    body: body(),
  });
  await answer.text();
}

async function toRouter(): Promise<void> {
  const answer = await fetch(
    `http://${fleet.callers("brest")}/v1/completions`,
    {
      method: "POST",
      headers: { authorization: `Bearer ${API_KEY}` },
      body: body(),
    },
  );
  await answer.text();
}

async function timesOf(run: () => Promise<void>): Promise<Times> {
  for (let n = 0; n < WARM; n += 1) await run();
  const times: number[] = [];
  for (let n = 0; n < RUNS; n += 1) {
    const from = performance.now();
    await run();
    times.push(performance.now() - from);
  }
  times.sort((a, b) => a - b);
  return { p50: times[RUNS * 0.5] ?? 0, p95: times[RUNS * 0.95] ?? 0 };
}

async function flood(): Promise<void> {
  let left = FLOOD;
  await Promise.all(Array.from({ length: AT_ONCE }, async () => {
    while (left > 0) {
      left -= 1;
      await toRouter();
    }
  }));
}

/** Processor time that a program has used so far, in seconds. */
function cpuOf(name: string): number {
  const pid = fleet.programs.get(name)?.child.pid;
  const args = ["-o", "cputimes=", "-p", String(pid)];
  return Number(execFileSync("ps", args, { encoding: "utf8" }));
}

function pair(times: Times): string {
  return `${times.p50.toFixed(2)} / ${times.p95.toFixed(2)}`;
}
