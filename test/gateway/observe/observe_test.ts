/** Logs and metrics: bounded, never blocking, readable. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { openEventLog } from "../../../src/gateway/observe/event_log.ts";
import { EVENT_KINDS } from "../../../src/gateway/observe/event_names.ts";
import {
  LineWriter,
  type RawWrite,
} from "../../../src/gateway/observe/line_writer.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";

function logInto(lines: string[], now: () => number) {
  const write: RawWrite = (bytes, done) => {
    lines.push(...bytes.toString().trim().split("\n"));
    done(null, bytes.length);
  };
  const clock = { now, after: () => () => undefined };
  const writer = new LineWriter(write);
  const source = { program: "p", host: "h", level: "info" as const };
  return openEventLog({ ...source, clock, writer });
}

function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}

test("a burst of one kind of event is cut off and what is left out counted", async () => {
  const lines: string[] = [];
  let now = 0;
  const log = logInto(lines, () => now);
  for (let count = 0; count < 1000; count++) log.note("refused", { count });
  now = 1000;
  log.note("refused", { count: 1000 });
  await settled();
  const { perSecond } = EVENT_KINDS.refused;
  assert.equal(lines.length, perSecond + 1);
  const last = JSON.parse(lines.at(-1) ?? "{}") as Record<string, unknown>;
  assert.equal(last["left_out"], 1000 - perSecond);
  assert.equal(last["event"], "refused");
});

test("a reader that stops reading blocks nothing; lines are dropped", () => {
  let writes = 0;
  const stuck: RawWrite = () => {
    writes += 1;
  };
  const writer = new LineWriter(stuck);
  for (let count = 0; count < 10_000; count++) writer.write("x".repeat(99));
  assert.ok(writes <= 1);
  assert.ok(writer.takeDropped() > 7000);
  assert.equal(writer.takeDropped(), 0);
});

test("what is written in parts comes whole and in order", async () => {
  let text = "";
  const parts: RawWrite = (bytes, done) => {
    text += bytes.subarray(0, 3).toString();
    done(null, Math.min(3, bytes.length));
  };
  const writer = new LineWriter(parts);
  writer.write("first\n");
  writer.write("second\n");
  await new Promise<void>((resolve) => {
    const look = () =>
      text.endsWith("second\n") ? resolve() : setTimeout(look, 5);
    look();
  });
  assert.equal(text, "first\nsecond\n");
});

test("the catalogue of events and docs/OPERATIONS.md name the same events", () => {
  const [page = ""] = readFileSync("docs/OPERATIONS.md", "utf8")
    .split("## Metrics");
  const named = [...page.matchAll(/^\| `([a-zA-Z]+)` \|/gm)].map((one) =>
    one[1] ?? ""
  );
  assert.deepEqual(named.sort(), Object.keys(EVENT_KINDS).sort());
});

test("the metrics page has a line and a type for each figure", () => {
  const metrics = new Metrics();
  metrics.count("requests", 3);
  metrics.time("whole", 250);
  const lines = metrics.page({ open: 2 }).trim().split("\n");
  const samples = lines.filter((line) => !line.startsWith("#"));
  for (const line of samples) {
    assert.match(line, /^otterhill_[a-z_]+(\{quantile="0\.\d+"\})? [\d.e+-]+$/);
  }
  assert.ok(lines.includes("otterhill_requests_total 3"));
  assert.ok(lines.includes("otterhill_whole_seconds_count 1"));
});
