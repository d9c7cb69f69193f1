/** What a host tells the owners of quotas that it names. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../../../src/gateway/clock.ts";
import { quotaRule } from "../../../src/gateway/quota/bounds.ts";
import { QuotaMember } from "../../../src/gateway/quota/member.ts";
import { QuotaOwner } from "../../../src/gateway/quota/owner.ts";
import { type LinkEvents, LinkPath } from "../../../src/gateway/peers/link.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { BOUNDS } from "./quota_fleet.ts";

type Told = { readonly type: string; readonly usage?: readonly unknown[] };

/** A member whose links are the test's. */
function start() {
  let hosts: readonly HostEntry[] = [];
  const links = new Map<string, { events: LinkEvents; told: Told[] }>();
  const own = new QuotaOwner({
    clock: systemClock,
    run: "own",
    allowance: quotaRule(() => BOUNDS),
    memoryMs: () => BOUNDS.windowMs,
    knownHosts: () => 1,
  });
  const member = new QuotaMember({
    self: { id: "self", hall: "h" },
    clock: { ...systemClock, now: () => 20_000 },
    own,
    hosts: () => hosts,
    memoryMs: () => BOUNDS.windowMs,
    path: LinkPath.quota,
    noteLost: () => undefined,
    openLink: ({ address }, events) => {
      const told: Told[] = [];
      links.set(address, { events, told });
      return {
        send: (message) => told.push(message as Told),
        close: () => undefined,
      };
    },
  });
  const join = (id: string) => {
    hosts = [...hosts, { id, address: id, hall: "h" }];
    member.refresh();
    const hello = { type: "hello", run: `run of ${id}` };
    links.get(id)?.events.line(JSON.stringify(hello));
  };
  return { member, links, join };
}

test("an owner is told once of what others gave", async () => {
  const { member, links, join } = start();
  member.refresh();
  for (let at = 0; at < 40; at++) {
    const outcome = await member.take({
      customer: `c${at}`,
      units: 1,
      rate: { perSecond: 1e9, burst: 1e9 },
      version: 1,
      mostWaitMs: 1e9,
    });
    assert.equal(outcome.type, "granted");
  }
  join("first");
  const told = links.get("first")?.told ?? [];
  const before = told.flatMap((one) => one.usage ?? []).length;
  assert.ok(before > 0);
  // Newcomers take shards over: the first is named for fewer of them.
  for (const id of ["second", "third", "fourth"]) join(id);
  assert.ok(told.filter((one) => one.type === "member").length > 1);
  assert.equal(told.flatMap((one) => one.usage ?? []).length, before);
});
