/**
 * Guards against requests that share one part of their prompts, no two alike,
 * and crash one replica after another, and against refusing the requests beside
 * them that share the other parts.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CRASHING_PART } from "../platform/crashing_requests.ts";
import { knownRed } from "../known_red.ts";
import { CallKind, type CallResult } from "./call.ts";
import { callHost, type FleetHost } from "./fleet.ts";
import { sleep } from "./sleep.ts";
import {
  isServed,
  type TestFleet,
  waitUntil,
  withFleet,
} from "./test_fleet.ts";

/** Requests of a route share it; only some have the crashing part behind it. */
const FIRST_PART = "f1257";
/** From this crash on the time runs in which hosts learn of the crashes. */
const COUNTED_CRASH = 5;
const PROPAGATION_MS = 3000;
/** Requests with the part that may reach replicas afterwards. */
const MAX_LATE_REQUESTS = 3;
/** Ordinary requests must be served half as often as before, at the least. */
const MIN_SERVED_SHARE = 0.5;
const MIN_SAMPLE = 20;
const CRASHING_INTERVAL_MS = 400;
const ORDINARY_INTERVAL_MS = 160;
/** Requests with the part after the time in which hosts learn of the crashes. */
const LATER_REQUESTS = 15;

/** A caller's requests at one host after the other. */
class Caller {
  readonly results: CallResult[] = [];
  readonly #fleet: TestFleet;
  readonly #kind: CallKind;
  readonly #name: string;
  readonly #parts: readonly string[];
  #sent = 0;

  constructor(
    fleet: TestFleet,
    { kind, name, parts }: {
      readonly kind: CallKind;
      readonly name: string;
      readonly parts: readonly string[];
    },
  ) {
    this.#fleet = fleet;
    this.#kind = kind;
    this.#name = name;
    this.#parts = parts;
  }

  /** Sends requests, none alike, until `isDone`; some may still run then. */
  async run(intervalMs: number, isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      void this.#send().then((result) => this.results.push(result));
      await sleep(intervalMs);
    }
  }

  #send(): Promise<CallResult> {
    const { hosts } = this.#fleet;
    const host = hosts[this.#sent % hosts.length] as FleetHost;
    this.#sent += 1;
    const id = `${this.#name}-${this.#sent}`;
    const parts = [...this.#parts, `middle-${id}`];
    return callHost(host, {
      id,
      kind: this.#kind,
      body: id,
      promptParts: parts,
    });
  }
}

function servedShare(results: readonly CallResult[]): number {
  return results.filter(isServed).length / results.length;
}

/** Ids of requests with the crashing part that reached a replica after a time. */
function reachedAfter({ world }: TestFleet, atMs: number): Set<string> {
  const late = world.arrivals.filter((arrival) =>
    arrival.request.startsWith("crashing") && arrival.atMs > atMs
  );
  return new Set(late.map(({ request }) => request));
}

for (const kind of [CallKind.stream, CallKind.resumable]) {
  const name =
    `requests with a part that crashes replicas are refused, those ` +
    `with its other parts are served (${kind})`;
  test(name, knownRed(name), async () => {
    await withFleet(async (fleet) => {
      const { world } = fleet;
      const ordinary = new Caller(fleet, {
        kind,
        name: "ordinary",
        parts: [FIRST_PART],
      });
      const crashing = new Caller(fleet, {
        kind,
        name: "crashing",
        parts: [FIRST_PART, CRASHING_PART],
      });
      let isOver = false;
      const ordinaryRun = ordinary.run(ORDINARY_INTERVAL_MS, () => isOver);
      await waitUntil(
        () => Promise.resolve(ordinary.results.length >= MIN_SAMPLE),
        "ordinary requests end",
      );
      const shareBefore = servedShare(ordinary.results);
      await crashing.run(
        CRASHING_INTERVAL_MS,
        () => world.crashed.length >= COUNTED_CRASH,
      );
      const crashedAt = world.crashTimes[COUNTED_CRASH - 1] ?? 0;
      const laterMs = 2 * PROPAGATION_MS +
        LATER_REQUESTS * CRASHING_INTERVAL_MS;
      const endsAt = crashedAt + laterMs;
      await crashing.run(
        CRASHING_INTERVAL_MS,
        () => performance.now() >= endsAt,
      );
      isOver = true;
      await ordinaryRun;
      await sleep(PROPAGATION_MS);

      const reached = reachedAfter(fleet, crashedAt + PROPAGATION_MS);
      assert.ok(reached.size <= MAX_LATE_REQUESTS, [...reached].join());
      const later = ordinary.results.filter(({ sentAtMs }) =>
        sentAtMs > crashedAt + 2 * PROPAGATION_MS
      );
      assert.ok(later.length >= MIN_SAMPLE, `${later.length} requests`);
      const share = servedShare(later);
      assert.ok(
        share >= MIN_SERVED_SHARE * shareBefore,
        `${share} of the requests after ${shareBefore} before`,
      );
    });
  });
}
