/**
 * Guards against requests that crash one replica after another because of a part
 * of their prompts, no two alike, and against refusing requests that share only
 * other parts with them. In virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import { StateFleet } from "../state/state_fleet.ts";
import {
  answer,
  countRefusing,
  crash,
  FORMED_MS,
  hostAt,
  type PromptRequest,
} from "./crash_reports.ts";

/** Crashes after which a part must be refused. */
const MAX_CRASHES = 5;
const CRASH_INTERVAL_MS = 400;
const CRASHING: PromptRequest = {
  request: "later crashing",
  parts: ["first", "crashing"],
};
const ORDINARY: PromptRequest = {
  request: "later ordinary",
  parts: ["first", "another"],
};

/** A test in virtual time of a fleet that has formed. */
function fleetTest(
  name: string,
  size: number,
  run: (fleet: StateFleet) => Promise<void>,
): void {
  test(name, knownRed(name), async () => {
    const fleet = new StateFleet(size, size);
    await fleet.runTo(FORMED_MS);
    await run(fleet);
  });
}

/** Ordinary requests that are served, one after the other, by all hosts. */
async function serveOrdinary(fleet: StateFleet, count: number): Promise<void> {
  for (let at = 0; at < count; at++) {
    const request = `${at} served at ${fleet.now}`;
    answer(hostAt(fleet, at), { request, parts: ["first", `middle ${at}`] });
    await fleet.runTo(fleet.now + 10);
  }
}

/**
 * Requests with the crashing part, and ordinary ones that run beside them, at
 * another replica and host each time.
 */
async function crashReplicas(
  fleet: StateFleet,
  { count, from = 0 }: { readonly count: number; readonly from?: number },
): Promise<void> {
  for (let at = from; at < from + count; at++) {
    const replica = `replica ${at}`;
    const request = `${at} crashing`;
    crash(hostAt(fleet, at), { ...CRASHING, request }, replica);
    for (const beside of [1, 2]) {
      crash(hostAt(fleet, at + beside), {
        request: `${at} ${beside} beside`,
        parts: ["first", `middle ${at} ${beside}`],
        ranMs: 1000 * beside,
      }, replica);
    }
    await fleet.runTo(fleet.now + CRASH_INTERVAL_MS);
  }
}

for (const size of [1, 3, 9, 30]) {
  fleetTest(
    `a part that crashes replicas is refused by ${size} hosts, the other parts are not`,
    size,
    async (fleet) => {
      await serveOrdinary(fleet, 2 * size);
      await crashReplicas(fleet, { count: MAX_CRASHES });
      assert.equal(countRefusing(fleet, CRASHING), size);
      assert.equal(countRefusing(fleet, ORDINARY), 0);
    },
  );
}

fleetTest(
  "a part that crashes replicas is refused while all requests share the first part and none ends well",
  9,
  async (fleet) => {
    await crashReplicas(fleet, { count: MAX_CRASHES });
    assert.equal(countRefusing(fleet, CRASHING), 9);
    assert.equal(countRefusing(fleet, ORDINARY), 0);
  },
);

fleetTest(
  "two parts that crash replicas alternately are both refused",
  9,
  async (fleet) => {
    await serveOrdinary(fleet, 9);
    const parts = ["crashing", "crashing too"];
    for (let at = 0; at < 2 * MAX_CRASHES; at++) {
      const part = parts[at % 2] ?? "";
      const request = { request: `${at} crashing`, parts: ["first", part] };
      crash(hostAt(fleet, at), request, `replica ${at}`);
      await fleet.runTo(fleet.now + CRASH_INTERVAL_MS);
    }
    for (const part of parts) {
      const request = { request: "later", parts: ["first", part] };
      assert.equal(countRefusing(fleet, request), 9, part);
    }
    assert.equal(countRefusing(fleet, ORDINARY), 0);
  },
);

fleetTest(
  "a part is refused wherever it stands in a prompt",
  3,
  async (fleet) => {
    await serveOrdinary(fleet, 9);
    for (let at = 0; at < MAX_CRASHES; at++) {
      const parts = [
        "first",
        ...Array.from({ length: at }, (_, i) => `p${at}${i}`),
      ];
      const request = {
        request: `${at} crashing`,
        parts: [...parts, "crashing"],
      };
      crash(hostAt(fleet, at), request, `replica ${at}`);
      await fleet.runTo(fleet.now + CRASH_INTERVAL_MS);
    }
    const request = { request: "later", parts: ["crashing"] };
    assert.equal(countRefusing(fleet, request), 3);
    assert.equal(countRefusing(fleet, ORDINARY), 0);
  },
);

fleetTest(
  "a part that was served before and crashes replicas from some time on is refused",
  9,
  async (fleet) => {
    for (let at = 0; at < 60; at++) {
      const parts = ["first", at % 5 === 0 ? "crashing" : `middle ${at}`];
      answer(hostAt(fleet, at), { request: `${at} served`, parts });
    }
    for (let at = 0; at < 2 * MAX_CRASHES; at++) {
      await crashReplicas(fleet, { count: 1, from: at });
      await serveOrdinary(fleet, 5);
    }
    assert.equal(countRefusing(fleet, CRASHING), 9);
    assert.equal(countRefusing(fleet, ORDINARY), 0);
  },
);
