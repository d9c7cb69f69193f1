/**
 * A confirmed configuration is in force at every host that the store serves,
 * also where the host that they follow is one that the store turns away.
 *
 * What was seen: two hosts of one hall answered 404 for a new route 2.1 and
 * 2.6 s after its version had been confirmed; it has to be in force within 2 s.
 * How it came about: the store turned the relay of their hall away and served
 * all others. The relay heard of the version from its reader and could not
 * read it; its followers, whom the store would have served, heard nothing of
 * it, since a relay named only the version that it held.
 * The cause: who can't have a thing itself kept the news of it from others,
 * and its own way round, by peers, waited for a timer that goes by something
 * else, the freshness of the listing.
 * What proved it: in this fleet only followers of a relay that is turned away
 * are late, and only where the configuration itself does not travel with its
 * version, as all did then and as large ones do.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteConfig } from "../../../src/gateway/mod.ts";
import { knownRed } from "../../known_red.ts";
import { StateFleet, type Treatment } from "./state_fleet.ts";
import { routesOf } from "./routes_of.ts";

/** A version has to be in force so long after it was confirmed. */
const IN_FORCE_MS = 2000;
/** Too large to be told over the links. */
const LARGE = 400;
const SMALL = 3;
const SEEDS = 20;
const SETTLED_MS = 6000;

function configOf(version: number, routes: number): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: routesOf(routes), services: [], limits };
}

type Play = {
  readonly seed: number;
  readonly hosts: number;
  readonly routes: number;
  readonly treatment: Treatment;
  /** Whom the store turns away. */
  isTurnedAway(role: string, at: number): boolean;
};

/** How late a version is in force at each host that the store serves. */
async function latenessOf(play: Play): Promise<Map<string, number>> {
  const fleet = new StateFleet(play.hosts, play.seed);
  fleet.publish(configOf(1, play.routes));
  const startAt = SETTLED_MS + play.seed * 97;
  await fleet.runTo(startAt);
  const away = fleet.hosts.filter((host, at) =>
    play.isTurnedAway(fleet.roleOf(host), at)
  );
  assert.ok(away.length > 0 && away.length < play.hosts);
  for (const { entry } of away) fleet.treat(entry.id, play.treatment);
  await fleet.runTo(startAt + 500);
  fleet.publish(configOf(2, play.routes));
  const confirmedAt = fleet.now;
  await fleet.runTo(confirmedAt + 3 * IN_FORCE_MS);
  const served = fleet.hosts.filter((host) => !away.includes(host));
  return new Map(
    served.map(({ entry, adoptedAt }) => [
      entry.id,
      (adoptedAt.get(2) ?? Infinity) - confirmedAt,
    ]),
  );
}

async function assertInTime(play: Omit<Play, "seed">): Promise<void> {
  for (let seed = 0; seed < SEEDS; seed++) {
    const lateness = await latenessOf({ ...play, seed });
    for (const [host, ms] of lateness) {
      assert.ok(ms <= IN_FORCE_MS, `Seed ${seed}: ${host} after ${ms} ms`);
    }
  }
}

const isRelay = (role: string) => role === "relay";

const RED =
  "a large configuration is in force in time behind a relay that the store turns away";
test(RED, knownRed(RED), async () => {
  for (const treatment of ["reset", "silent"] as const) {
    await assertInTime({
      hosts: 8,
      routes: LARGE,
      treatment,
      isTurnedAway: isRelay,
    });
  }
});

test("a small configuration is in force in time behind a relay that the store turns away", async () => {
  await assertInTime({
    hosts: 8,
    routes: SMALL,
    treatment: "reset",
    isTurnedAway: isRelay,
  });
});
