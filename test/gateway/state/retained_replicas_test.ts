/** Tests when a host stops to retain replicas that a restored store lacks. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../../../src/gateway/clock.ts";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type {
  ReplicaEntry,
  Store,
  StorePosition,
} from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import type { HallFollower } from "../../../src/gateway/state/hall_follower.ts";
import { StoreLoops } from "../../../src/gateway/state/store_loops.ts";
import { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";
import { emptyCrashWatch } from "../crashes/empty_crash_watch.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";
import { neverSuspended } from "../never_suspended.ts";
import { replicaEntry } from "../replica_entry.ts";
import { StateFleet } from "./state_fleet.ts";

const REMOVAL_AT_MS = 3000;
const RESTORE_AT_MS = 5000;
/** When the restored store counts as settled, and time for a listing. */
const SETTLED_MS = 2200;
const END_MS = 12_000;
/** How much time may pass between two readings of a clock. */
const STEPS_MS = [0.01, 0.02, 0.03, 0.05, 0.07, 0.1, 0.15, 0.2, 0.3];

/**
 * A clock as in a real process: time passes between two readings, and timers
 * drop fractions of a millisecond.
 */
class SteppedTime {
  readonly #stepMs: number;
  readonly #timers: { readonly at: number; readonly work: () => void }[] = [];
  #now = 0;

  constructor(stepMs: number) {
    this.#stepMs = stepMs;
  }

  readonly clock: Clock = {
    now: () => this.#now += this.#stepMs,
    after: (delayMs, work) => {
      const timer = { at: this.#now + Math.trunc(delayMs), work };
      this.#timers.push(timer);
      return () => {
        const at = this.#timers.indexOf(timer);
        if (at >= 0) this.#timers.splice(at, 1);
      };
    },
  };

  async runTo(end: number): Promise<void> {
    for (;;) {
      this.#timers.sort((a, b) => a.at - b.at);
      const [next] = this.#timers;
      if (!next || next.at > end) break;
      this.#timers.shift();
      this.#now = Math.max(this.#now, next.at);
      next.work();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.#now = Math.max(this.#now, end);
  }
}

/** What the store lists before and after it is restored. */
type Listings = {
  readonly removed: readonly ReplicaEntry[];
  readonly restored: readonly ReplicaEntry[];
};

/** Starts a host that reads the store itself; it lists a replica at first. */
function startReader(stepMs: number, { removed, restored }: Listings) {
  const time = new SteppedTime(stepMs);
  const { clock } = time;
  const stored: {
    position: StorePosition;
    entries: readonly ReplicaEntry[];
  } = { position: { revision: 10, era: 1 }, entries: [replicaEntry("a")] };
  const replicas = new ReplicaTable();
  const context = {
    self: { id: "self" },
    clock,
    random: () => 0,
    metrics: new Metrics(),
    events: { note: () => undefined },
    routes: new RouteTable(),
    replicas,
    eras: emptyStoreEras(),
    suspensions: neverSuspended(),
    pool: { removeReplica: () => undefined },
    crashes: emptyCrashWatch(),
  } as unknown as GatewayContext;
  const synchronizer = new Synchronizer({
    context,
    onConfig: () => undefined,
    onChange: () => undefined,
    onVersionAnnounced: () => undefined,
    onDraining: () => undefined,
    hasFollowers: () => false,
  });
  const never = () => new Promise<never>(() => undefined);
  const loops = new StoreLoops({
    context,
    store: {
      readReplicas: () => {
        const { position, entries } = stored;
        return Promise.resolve({ ...position, entries, nowMs: clock.now() });
      },
      watchReplicas: (from: StorePosition, waitMs: number) =>
        new Promise((resolve) => {
          clock.after(waitMs, () => {
            const { position } = stored;
            const isLost = from.era !== position.era ||
              from.revision !== position.revision;
            const changes = { ...position, changed: [], gone: [] };
            resolve(isLost ? undefined : { ...changes, nowMs: clock.now() });
          });
        }),
      readConfig: never,
      watchConfig: never,
    } as unknown as Store,
    times: { listMs: 700, timeoutMs: 700, watchMs: 1200 },
    synchronizer,
    fleetSize: () => 1,
    follower: {
      reader: "self",
      leaveIfStale: () => undefined,
    } as unknown as HallFollower,
  });
  clock.after(REMOVAL_AT_MS, () => {
    stored.position = { revision: 11, era: 1 };
    stored.entries = removed;
  });
  clock.after(RESTORE_AT_MS, () => {
    stored.position = { revision: 5, era: 2 };
    stored.entries = restored;
  });
  loops.start();
  return { time, replicas, loops };
}

// Guards against a listing with retained replicas that is taken for the store's
// and then only gets its changes, so that a replica that left is used for good.
test("a replica that a restored store lacks is not retained for good", async () => {
  const listings = { removed: [replicaEntry("a")], restored: [] };
  const retained: number[] = [];
  for (const stepMs of STEPS_MS) {
    const { time, replicas, loops } = startReader(stepMs, listings);
    await time.runTo(RESTORE_AT_MS + 1500);
    assert.equal(replicas.size, 1);
    await time.runTo(RESTORE_AT_MS + SETTLED_MS);
    if (replicas.size > 0) retained.push(stepMs);
    await time.runTo(END_MS);
    assert.equal(replicas.size, 0, `step ${stepMs}`);
    loops.stop();
  }
  assert.deepEqual(retained, [], "retained for longer than necessary");
});

// Guards against a listing without excluded replicas that is taken for the
// store's, so that a replica that lives is never used again.
test("a replica that a restored store lists again is not excluded for good", async () => {
  const listings = { removed: [], restored: [replicaEntry("a")] };
  for (const stepMs of STEPS_MS) {
    const { time, replicas, loops } = startReader(stepMs, listings);
    await time.runTo(RESTORE_AT_MS + 1500);
    assert.equal(replicas.size, 0);
    await time.runTo(END_MS);
    assert.equal(replicas.size, 1, `step ${stepMs}`);
    loops.stop();
  }
});

// Guards against hosts that read the changes after an outage, in which entries
// of live replicas have lapsed, and remove these replicas.
test("entries that lapse while the store is unavailable are retained", async () => {
  for (const size of [1, 3, 9]) {
    const fleet = new StateFleet(size, 1);
    const { store, hosts } = fleet;
    for (const id of ["a", "b"]) store.putReplica(replicaEntry(id));
    await fleet.runTo(8000);
    const treatAll = (treatment: "reset" | "served") => {
      for (const { entry } of hosts) store.setTreatment(entry.id, treatment);
    };
    treatAll("reset");
    fleet.at(11_000, () => store.deleteReplica("a"));
    fleet.at(11_500, () => treatAll("served"));
    fleet.at(13_000, () => store.putReplica(replicaEntry("a")));
    for (let now = 8000; now <= 20_000; now += 100) {
      await fleet.runTo(now);
      for (const { context } of hosts) assert.equal(context.replicas.size, 2);
    }
    for (const { context } of hosts) assert.ok(context.replicas.isExact);
  }
});
