/**
 * Guards against streams that reach callers out of order: with events that are
 * missing, repeated or of two versions, or as complete before their last event.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { huntOrder, type RoundPlan } from "./order_hunt.ts";
import { MIN_RESUMPTIONS } from "./resumptions.ts";

async function assertInOrder(
  seed: number,
  plan: RoundPlan,
  rounds = 1,
): Promise<void> {
  const hunt = await huntOrder({ seed, rounds, plan });
  const { disordered, resumed, folder } = hunt;
  assert.deepEqual(disordered, [], `Logs of the hosts: ${folder}`);
  assert.ok(resumed >= MIN_RESUMPTIONS, `${resumed}`);
}

const ENDED_EARLY =
  "unframed streams of draining replicas that end early don't reach callers as complete";
test(ENDED_EARLY, knownRed(ENDED_EARLY), async () => {
  await assertInOrder(11, {
    change: "a version replaces the first, which ends early",
    disruption: "no host is disrupted",
  });
});

const HOSTS_KILLED =
  "streams stay in order while replicas crash and a third of the hosts is killed";
test(HOSTS_KILLED, knownRed(HOSTS_KILLED), async () => {
  await assertInOrder(12, {
    change: "replicas crash",
    disruption: "a third is killed",
  });
});

test("streams don't go on at replicas that have restarted at their addresses at another version", async () => {
  await assertInOrder(212, {
    change: "replicas restart at their addresses at another version",
    disruption: "one is killed",
  }, 2);
});
