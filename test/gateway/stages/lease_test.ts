/** Leases over a store that comes back from an older copy of itself. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand";
import { draw } from "../../../src/util/chance.ts";
import type { Store, StoreRow } from "../../../src/gateway/port.ts";
import { type Lease, takeLease } from "../../../src/gateway/stages/lease.ts";
import type { StoreEras } from "../../../src/gateway/state/store_eras.ts";
import { quietEras } from "../quiet_eras.ts";

const GUARD_MS = 3000;
const SIGNAL = new AbortController().signal;

/** A store of leases, in virtual time, that can come back from a copy. */
class LeaseStore {
  now = 0;
  era = 1;
  #revision = 0;
  #rows = new Map<string, StoreRow>();
  /** Done between the reading and the write of a taker. */
  between: () => void = () => undefined;

  copy(): () => void {
    const rows = new Map(this.#rows);
    const revision = this.#revision;
    return () => {
      this.#rows = new Map(rows);
      this.#revision = revision;
      this.era += 1;
    };
  }

  pass(writes: number): void {
    this.#revision += writes;
  }

  readonly store = {
    readRows: () => {
      const rows = [...this.#rows.values()];
      const { now: nowMs, era } = this;
      return Promise.resolve({ rows, nowMs, era });
    },
    writeRow: ({ key, value, ifRevision }) => {
      this.between();
      const known = this.#rows.get(key)?.revision ?? 0;
      if (ifRevision !== known) return Promise.resolve({ type: "conflict" });
      this.#revision += 1;
      const revision = this.#revision;
      this.#rows.set(key, { key, value, revision });
      const { now: nowMs, era } = this;
      return Promise.resolve({ type: "written", revision, nowMs, era });
    },
  } as Partial<Store> as Store;

  take(holder: string, eras: StoreEras): Promise<Lease | undefined> {
    const clock = { now: () => this.now, after: () => () => undefined };
    const { store } = this;
    const source = { store, clock, holder, guardMs: GUARD_MS, eras };
    return takeLease(source, "s", SIGNAL);
  }
}

/** A store whose era `eras` has known for long. */
async function known(): Promise<{ store: LeaseStore; eras: StoreEras }> {
  const store = new LeaseStore();
  const eras = quietEras();
  await store.take("a", eras);
  store.now = 60_000;
  return { store, eras };
}

test("a lease that the copy lacks is waited for, though the copy's row is free", async () => {
  const { store, eras } = await known();
  const restore = store.copy();
  const first = await store.take("a", eras);
  assert.ok(first);
  restore();
  store.now += 100;
  const others = quietEras();
  assert.equal(await store.take("b", others), undefined);
  store.now = first.until + GUARD_MS;
  assert.equal(await store.take("b", others), undefined);
  store.now += 101;
  const second = await store.take("b", others);
  assert.ok(second);
  assert.ok(second.until - first.until > GUARD_MS);
});

test("a token of the new era is higher, though the store's counter is lower", async () => {
  const { store, eras } = await known();
  const restore = store.copy();
  store.pass(500);
  const first = await store.take("a", eras);
  restore();
  // Hears of the era, and waits.
  assert.equal(await store.take("a", eras), undefined);
  store.now += 60_000;
  const second = await store.take("a", eras);
  assert.ok(first && second && second.fence > first.fence);
});

test("a row that was written into another era than was read gives no lease", async () => {
  const { store, eras } = await known();
  const restore = store.copy();
  store.between = () => restore();
  assert.equal(await store.take("a", eras), undefined);
});

test("over random restores no two holders hold within the guard, and tokens rise", async () => {
  for (let seed = 1; seed <= 60; seed++) {
    const random = xoroshiro128plus(seed);
    const store = new LeaseStore();
    const copies = [store.copy()];
    const hosts = ["a", "b", "c"].map((id) => ({ id, eras: quietEras() }));
    const leases: { id: string; at: number; lease: Lease }[] = [];
    for (let step = 0; step < 150; step++) {
      store.now += draw(random, 900);
      store.pass(draw(random, 3));
      if (draw(random, 4) === 0) copies.push(store.copy());
      if (draw(random, 25) === 0) copies.at(-1 - draw(random, 3))?.();
      const host = hosts[draw(random, hosts.length)];
      if (!host) continue;
      const lease = await store.take(host.id, host.eras);
      if (lease) leases.push({ id: host.id, at: store.now, lease });
    }
    for (const [at, one] of leases.entries()) {
      const before = leases[at - 1];
      if (!before) continue;
      assert.ok(one.lease.fence > before.lease.fence, `Seed ${seed}`);
      if (before.id === one.id) continue;
      const betweenMs = one.at - before.lease.until;
      assert.ok(betweenMs >= GUARD_MS, `Seed ${seed}: ${betweenMs} ms`);
    }
  }
});
