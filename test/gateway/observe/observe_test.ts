/** Guards against unbounded, blocking or unreadable logs and metrics. */
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

function openTestLog(lines: string[], now: () => number) {
  const write: RawWrite = (bytes, done) => {
    lines.push(...bytes.toString().trim().split("\n"));
    done(null, bytes.length);
  };
  const clock = { now, after: () => () => undefined };
  const writer = new LineWriter(write);
  const options = { program: "p", host: "h", level: "info" as const };
  return openEventLog({ ...options, clock, writer });
}

function nextImmediates(): Promise<void> {
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}

test("a burst of one kind of event is rate-limited and the suppressed events are counted", async () => {
  const lines: string[] = [];
  let now = 0;
  const log = openTestLog(lines, () => now);
  for (let count = 0; count < 1000; count++) log.note("refused", { count });
  now = 1000;
  log.note("refused", { count: 1000 });
  await nextImmediates();
  const { perSecond } = EVENT_KINDS.refused;
  assert.equal(lines.length, perSecond + 1);
  const last = JSON.parse(lines.at(-1) ?? "{}") as Record<string, unknown>;
  assert.equal(last["left_out"], 1000 - perSecond);
  assert.equal(last["event"], "refused");
});

test("a reader that stops reading does not block writes; lines are dropped", () => {
  let writes = 0;
  const stuckWrite: RawWrite = () => {
    writes += 1;
  };
  const writer = new LineWriter(stuckWrite);
  for (let count = 0; count < 10_000; count++) writer.write("x".repeat(99));
  assert.ok(writes <= 1);
  assert.ok(writer.resetDroppedCount() > 7000);
  assert.equal(writer.resetDroppedCount(), 0);
});

// More of them than a second's lines, or than the buffer, were dropped.
test("each request that a stopping host leaves unfinished is named, also to a slow reader", async () => {
  const lines: string[] = [];
  let release = () => {};
  const write: RawWrite = (bytes, done) => {
    lines.push(...bytes.toString().trim().split("\n"));
    const written = () => done(null, bytes.length);
    if (lines.length > 1) written();
    else release = written;
  };
  const writer = new LineWriter(write);
  const clock = { now: () => 0, after: () => () => undefined };
  const options = { program: "p", host: "h", level: "info" as const };
  const log = openEventLog({ ...options, clock, writer });
  log.note("stopping");
  await nextImmediates();
  const count = 5000;
  for (let at = 0; at < count; at++) {
    log.note("unfinished", { request: `${at}` });
  }
  log.note("stopped");
  let isFlushed = false;
  const flushed = writer.flushed().then(() => isFlushed = true);
  await nextImmediates();
  assert.equal(isFlushed, false);
  release();
  await flushed;
  const named = lines.map((line) => JSON.parse(line) as { request?: string })
    .flatMap(({ request }) => request ?? []);
  assert.match(lines.at(-1) ?? "", /"event":"stopped"/);
  assert.deepEqual(named, Array.from({ length: count }, (_, at) => `${at}`));
});

test("partial writes are continued without loss and in order", async () => {
  let text = "";
  const partialWrite: RawWrite = (bytes, done) => {
    text += bytes.subarray(0, 3).toString();
    done(null, Math.min(3, bytes.length));
  };
  const writer = new LineWriter(partialWrite);
  writer.write("first\n");
  writer.write("second\n");
  await new Promise<void>((resolve) => {
    const poll = () =>
      text.endsWith("second\n") ? resolve() : setTimeout(poll, 5);
    poll();
  });
  assert.equal(text, "first\nsecond\n");
});

test("the event catalogue and docs/OPERATIONS.md list the same events", () => {
  const [page = ""] = readFileSync("docs/OPERATIONS.md", "utf8")
    .split("## Metrics");
  const named = [...page.matchAll(/^\| `([a-zA-Z]+)` \|/gm)].map((match) =>
    match[1] ?? ""
  );
  assert.deepEqual(named.sort(), Object.keys(EVENT_KINDS).sort());
});

test("the gauges of a family are told apart by their labels", () => {
  const values = [
    { labels: { replica: "a", stage: "decode" }, value: 2 },
    { labels: { replica: 'b"\n', stage: "" }, value: 0.5 },
  ];
  const families = [{ name: "speed", values }, { name: "none", values: [] }];
  assert.equal(
    new Metrics().render({}, {}, families),
    [
      "# TYPE otterhill_speed gauge",
      'otterhill_speed{replica="a",stage="decode"} 2',
      'otterhill_speed{replica="b\\"\\n",stage=""} 0.5',
      "",
    ].join("\n"),
  );
});

test("a family of counters is bounded, whatever labels peers cause", () => {
  const metrics = new Metrics();
  for (let at = 0; at < 1000; at++) {
    metrics.countLabelled("seen", { type: `t${at % 500}` }, 2);
  }
  const lines = metrics.render({}).trim().split("\n");
  assert.equal(lines.length, 1 + 200);
  assert.ok(lines.includes('otterhill_seen_total{type="t0"} 4'));
});

test("the metrics page has a sample line for each metric", () => {
  const metrics = new Metrics();
  metrics.count("requests", 3);
  metrics.time("whole", 250);
  const lines = metrics.render({ open: 2 }).trim().split("\n");
  const samples = lines.filter((line) => !line.startsWith("#"));
  for (const line of samples) {
    assert.match(line, /^otterhill_[a-z_]+(\{quantile="0\.\d+"\})? [\d.e+-]+$/);
  }
  assert.ok(lines.includes("otterhill_requests_total 3"));
  assert.ok(lines.includes("otterhill_whole_seconds_count 1"));
});
