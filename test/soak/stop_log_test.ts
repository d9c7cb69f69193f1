/**
 * The log of a host that stops. Guards against requests that are cut and that no
 * line of the log names, because there are more of them than lines a second.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FAILURES_PER_SECOND } from "../../src/gateway/observe/event_kind.ts";
import { SIGNALLED } from "./busy_stop.ts";
import { CallKind } from "./call.ts";
import type { FleetHost } from "./fleet.ts";
import { type LateResult, sendLate } from "./late_request.ts";
import { waitUntil, withFleet } from "./test_fleet.ts";

/** Longer than the grace period, so that only the stop ends requests. */
const ROUTE_TIMEOUT_MS = 12_000;
/** Streams of 20 events last for 9.6 s. */
const STREAM_SLOWDOWN = 12;
const STREAMS = 2 * FAILURES_PER_SECOND;
const OPTIONS = { hosts: 2, routeTimeoutMs: ROUTE_TIMEOUT_MS };

/** How long the event loop of a busy host doesn't handle signals. */
const BUSY_MS = 600;
/** Times in the log are whole milliseconds. */
const ROUNDING_MS = 2;

type Line = Readonly<Record<string, unknown>>;

function linesOf({ process }: FleetHost, event: string): Line[] {
  return process.logLines
    .filter((line) => line.startsWith("{"))
    .map((line) => JSON.parse(line) as Line)
    .filter((line) => line["event"] === event);
}

function timeOf(line: Line | undefined): number {
  return Date.parse(String(line?.["time"]));
}

function idsOf(lines: readonly Line[]): string[] {
  return lines.map(({ request }) => String(request)).sort();
}

function cutIn(results: readonly LateResult[]): string[] {
  return results.filter(({ isComplete, status }) => !isComplete && status !== 0)
    .map(({ id }) => id).sort();
}

test("each stream that a stopping host cuts is named by a line of its log", async (test) => {
  await withFleet(async ({ world, hosts: [host] }) => {
    assert.ok(host);
    for (const { standin } of world.readyReplicas()) {
      if (standin.role === "decode") standin.slowdown = STREAM_SLOWDOWN;
    }
    const sent = Promise.all(
      Array.from({ length: STREAMS }, (_, at) =>
        sendLate({
          id: `stream-${at}`,
          kind: CallKind.stream,
          address: host.callers,
          headAfterMs: 100,
          bodyAfterMs: 0,
        })),
    );
    // A stopping host begins no stream that would outlast it.
    await waitUntil(
      () => Promise.resolve(world.runningRequests() > FAILURES_PER_SECOND),
      "more streams run than lines are written a second",
    );
    await host.process.stop();
    const results = await sent;
    const cut = cutIn(results);
    const broken = idsOf(linesOf(host, "broken"));
    const placed = idsOf(linesOf(host, "placed"));
    const unfinished = idsOf(linesOf(host, "unfinished"));
    test.diagnostic(
      `cut ${cut.length}, placed ${placed.length}, broken ${broken.length}, ` +
        `unfinished ${unfinished.length}`,
    );
    const [stopped] = linesOf(host, "stopped");
    test.diagnostic(JSON.stringify(stopped));
    assert.ok(cut.length > FAILURES_PER_SECOND, `${cut.length} cut`);
    assert.deepEqual(unfinished, cut);
    assert.equal(stopped?.["cut"], cut.length);
    assert.equal(stopped["unfinished"], unfinished.length);
  }, OPTIONS);
});

// It counted from when the event loop handled the signal.
test("the grace period of a busy host counts from the signal", async (test) => {
  await withFleet(async ({ hosts: [host] }) => {
    assert.ok(host);
    await host.process.stopWhileBusy(BUSY_MS);
    const [signalled] = linesOf(host, SIGNALLED);
    const [stopping] = linesOf(host, "stopping");
    const { waited_ms: waitedMs = 0 } = stopping ?? {};
    const loggedAt = timeOf(stopping);
    const signalledAt = timeOf(signalled);
    test.diagnostic(`${loggedAt - signalledAt} ms, waited ${waitedMs} ms`);
    assert.ok(loggedAt - signalledAt >= BUSY_MS);
    assert.ok(loggedAt - Number(waitedMs) <= signalledAt + ROUNDING_MS);
    assert.equal(host.process.exits.at(-1)?.code, 0);
  }, OPTIONS);
});
