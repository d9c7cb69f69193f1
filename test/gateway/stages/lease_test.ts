/** Leases in a store that is restored from an older copy. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../../src/util/random.ts";
import type { Store, StoreRow } from "../../../src/gateway/port.ts";
import { acquireLease, type Lease } from "../../../src/gateway/stages/lease.ts";
import type { StoreEras } from "../../../src/gateway/state/store_eras.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";

const GUARD_MS = 3000;
const SIGNAL = new AbortController().signal;

/** A store of leases in virtual time that can be restored from a copy. */
class LeaseStore {
  now = 0;
  era = 1;
  #revision = 0;
  #rows = new Map<string, StoreRow>();
  /** Called between the read and the write of a requester. */
  beforeWrite: () => void = () => undefined;

  copy(): () => void {
    const rows = new Map(this.#rows);
    const revision = this.#revision;
    return () => {
      this.#rows = new Map(rows);
      this.#revision = revision;
      this.era += 1;
    };
  }

  addWrites(writes: number): void {
    this.#revision += writes;
  }

  readonly store = {
    readRows: () => {
      const rows = [...this.#rows.values()];
      const { now: nowMs, era } = this;
      return Promise.resolve({ rows, nowMs, era });
    },
    writeRow: ({ key, value, ifRevision }) => {
      this.beforeWrite();
      const currentRevision = this.#rows.get(key)?.revision ?? 0;
      if (ifRevision !== currentRevision) {
        return Promise.resolve({ type: "conflict" });
      }
      this.#revision += 1;
      const revision = this.#revision;
      this.#rows.set(key, { key, value, revision });
      const { now: nowMs, era } = this;
      return Promise.resolve({ type: "written", revision, nowMs, era });
    },
  } as Partial<Store> as Store;

  acquire(holder: string, eras: StoreEras): Promise<Lease | undefined> {
    const clock = { now: () => this.now, after: () => () => undefined };
    const { store } = this;
    const options = { store, clock, holder, guardMs: GUARD_MS, eras };
    return acquireLease(options, "s", SIGNAL);
  }
}

/** A store whose era `eras` has known for a long time. */
async function storeWithKnownEra(): Promise<
  { store: LeaseStore; eras: StoreEras }
> {
  const store = new LeaseStore();
  const eras = emptyStoreEras();
  await store.acquire("a", eras);
  store.now = 60_000;
  return { store, eras };
}

test("a lease missing from the restored copy must expire before another is granted", async () => {
  const { store, eras } = await storeWithKnownEra();
  const restore = store.copy();
  const first = await store.acquire("a", eras);
  assert.ok(first);
  restore();
  store.now += 100;
  const otherEras = emptyStoreEras();
  assert.equal(await store.acquire("b", otherEras), undefined);
  store.now = first.until + GUARD_MS;
  assert.equal(await store.acquire("b", otherEras), undefined);
  store.now += 101;
  const second = await store.acquire("b", otherEras);
  assert.ok(second);
  assert.ok(second.until - first.until > GUARD_MS);
});

test("a fencing token of a new era is higher although the revision is lower", async () => {
  const { store, eras } = await storeWithKnownEra();
  const restore = store.copy();
  store.addWrites(500);
  const first = await store.acquire("a", eras);
  restore();
  // The holder learns of the new era and must wait.
  assert.equal(await store.acquire("a", eras), undefined);
  store.now += 60_000;
  const second = await store.acquire("a", eras);
  assert.ok(first && second && second.fence > first.fence);
});

test("a row written in another era than it was read in grants no lease", async () => {
  const { store, eras } = await storeWithKnownEra();
  const restore = store.copy();
  store.beforeWrite = () => restore();
  assert.equal(await store.acquire("a", eras), undefined);
});

test("over random restores, leases of two holders are a guard time apart and tokens rise", async () => {
  for (let seed = 1; seed <= 60; seed++) {
    const random = xoroshiro128plus(seed);
    const store = new LeaseStore();
    const copies = [store.copy()];
    const hosts = ["a", "b", "c"].map((id) => ({ id, eras: emptyStoreEras() }));
    const leases: { id: string; at: number; lease: Lease }[] = [];
    for (let step = 0; step < 150; step++) {
      store.now += randomInt(random, 900);
      store.addWrites(randomInt(random, 3));
      if (randomInt(random, 4) === 0) copies.push(store.copy());
      if (randomInt(random, 25) === 0) copies.at(-1 - randomInt(random, 3))?.();
      const host = hosts[randomInt(random, hosts.length)];
      if (!host) continue;
      const lease = await store.acquire(host.id, host.eras);
      if (lease) leases.push({ id: host.id, at: store.now, lease });
    }
    for (const [at, current] of leases.entries()) {
      const before = leases[at - 1];
      if (!before) continue;
      assert.ok(current.lease.fence > before.lease.fence, `Seed ${seed}`);
      if (before.id === current.id) continue;
      const betweenMs = current.at - before.lease.until;
      assert.ok(betweenMs >= GUARD_MS, `Seed ${seed}: ${betweenMs} ms`);
    }
  }
});
