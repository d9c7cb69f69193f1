/**
 * A replica that says it leaves right after the store's return is used by no host
 * any more, at once; nobody waits until it is clear what the copy lacks.
 *
 * What was seen: three hosts before a store that came back from an older copy. A
 * replica said at that moment that it leaves; the configuration was in force
 * within 305 ms, the leaving known at two of three hosts after 2,024 to 2,210 ms.
 * How it came about: for the 2 s in which a listing may lack live replicas a
 * reader tells its followers that it reads, and no listing.
 * The cause: hosts told each other of replicas all or nothing. What takes a
 * replica away is certain whatever the rest of a listing is worth.
 * What proved it: the reader itself knew within a listing's interval, and the
 * others as soon as the two seconds were over.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import { replicaEntry } from "../replica_entry.ts";
import { type FleetHost, StateFleet } from "./state_fleet.ts";

/** A listing is read each 700 ms, and a tree of links is two ways deep. */
const KNOWN_MS = 1000;
const FORMED_MS = 8000;
const COPY_AGE_MS = 3000;
const REPLICAS = ["a", "b", "c", "d"].map((id) => replicaEntry(id));

type Return = {
  readonly size: number;
  readonly seed: number;
  /** How long the store is away. */
  readonly awayMs: number;
  /** After the return. */
  readonly leavesAfterMs: number;
  /** The store comes back once more, before the replica leaves. */
  readonly isTwice?: boolean;
};

function isOpen(host: FleetHost, id: string): boolean {
  const { replicas } = host.context;
  return replicas.openOf("s").some(({ entry }) => entry.id === id);
}

/** A fleet whose store comes back from a copy, and a replica leaves. */
async function restored(play: Return): Promise<StateFleet> {
  const fleet = new StateFleet(play.size, play.seed);
  const { store, hosts } = fleet;
  for (const one of REPLICAS) store.list(one);
  await fleet.runTo(FORMED_MS + play.seed * 97);
  const copy = store.copy();
  store.pass(7);
  await fleet.runTo(fleet.now + COPY_AGE_MS);
  for (const { entry } of hosts) store.treat(entry.id, "reset");
  await fleet.runTo(fleet.now + play.awayMs);
  store.restore(copy);
  store.pass(20);
  for (const { entry } of hosts) store.treat(entry.id, "served");
  await fleet.runTo(fleet.now + play.leavesAfterMs);
  if (play.isTwice) store.restore(copy);
  store.list({ ...replicaEntry("a"), leaving: true });
  return fleet;
}

const NAME =
  "a replica that leaves right after the store's return gets no work from any host";
test(NAME, knownRed(NAME), async () => {
  for (const size of [3, 9, 88]) {
    for (const awayMs of [5, 700]) {
      for (const leavesAfterMs of [0, 400, 1200]) {
        for (let seed = 0; seed < (size > 9 ? 2 : 8); seed++) {
          const play = { size, seed, awayMs, leavesAfterMs };
          const fleet = await restored(play);
          await fleet.runTo(fleet.now + KNOWN_MS);
          const late = fleet.hosts.filter((host) => isOpen(host, "a"));
          const told = `${late.length} hosts late: ${JSON.stringify(play)}`;
          assert.equal(late.length, 0, told);
          assert.ok(fleet.hosts.every((host) => isOpen(host, "b")));
        }
      }
    }
  }
});

test("it gets none either when the store comes back twice", async () => {
  for (let seed = 0; seed < 8; seed++) {
    const play = {
      size: 9,
      seed,
      awayMs: 5,
      leavesAfterMs: 900,
      isTwice: true,
    };
    const fleet = await restored(play);
    await fleet.runTo(fleet.now + KNOWN_MS);
    const late = fleet.hosts.filter((host) => isOpen(host, "a"));
    assert.equal(late.length, 0, `${late.length} hosts late, seed ${seed}`);
  }
});

test("a host that links anew hears of replicas that leave", async () => {
  const fleet = await restored({
    size: 9,
    seed: 3,
    awayMs: 5,
    leavesAfterMs: 100,
  });
  await fleet.runTo(fleet.now + KNOWN_MS);
  const added = fleet.add();
  await fleet.runTo(fleet.now + 3000);
  assert.ok(!isOpen(added, "a"));
  assert.ok(isOpen(added, "b"));
});

/**
 * A follower notices after a second that its reader is silent, and reads itself
 * or follows another that does.
 */
const REREAD_MS = 2000;

test("it gets none from hosts whose reader is cut off right then, nor from a hall that is", async () => {
  for (let seed = 0; seed < 8; seed++) {
    for (const size of [9, 30]) {
      for (const isHall of [true, false]) {
        const play = { size, seed, awayMs: 5, leavesAfterMs: 300 };
        const fleet = await restored(play);
        const isOut = (host: FleetHost) =>
          isHall
            ? host.entry.hall === "hall-1"
            : fleet.roleOf(host) === "reader";
        const out = new Set(fleet.hosts.filter(isOut));
        fleet.cut((one, other) => out.has(one) !== out.has(other));
        await fleet.runTo(fleet.now + KNOWN_MS + REREAD_MS);
        const late = fleet.hosts.filter((host) => isOpen(host, "a"));
        const told = `${late.length} late, ${
          JSON.stringify({ isHall, ...play })
        }`;
        assert.equal(late.length, 0, told);
      }
    }
  }
});
