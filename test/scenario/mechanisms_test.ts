/** Each mechanism's proof fails when the mechanism is off. */
import { test } from "node:test";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { Mechanism } from "../../src/core/mod.ts";
import { runScenario } from "./scenario.ts";

/** A scenario that must fail without the mechanism. */
const PROOFS: Readonly<Partial<Record<Mechanism, string>>> = {
  [Mechanism.registry]: "once_answered_frozen_owner",
  [Mechanism.claims]: "once_two_halls",
  [Mechanism.release]: "held_caller_gone",
  [Mechanism.sweep]: "held_host_killed",
  [Mechanism.drain]: "stop_cuts_nothing",
  [Mechanism.matchAttempts]: "whole_late_answers",
  [Mechanism.leases]: "lease_paused_holder_unchecked",
  [Mechanism.proveNotRun]: "not_run_is_true",
};

for (const [mechanism, scenario] of Object.entries(PROOFS)) {
  test(`${scenario} fails without ${mechanism}`, async () => {
    const text = readFileSync(`scenarios/${scenario}.scn`, "utf8");
    const disabled = new Set([mechanism as Mechanism]);
    assert.notDeepEqual(await runScenario(text, { disabled }), []);
  });
}
