/** Tests what a host reports to the quota owners that it has chosen. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../../../src/gateway/clock.ts";
import { quotaRule } from "../../../src/gateway/quota/bounds.ts";
import { QuotaMember } from "../../../src/gateway/quota/member.ts";
import { QuotaOwner } from "../../../src/gateway/quota/owner.ts";
import { type LinkEvents, LinkPath } from "../../../src/gateway/peers/link.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { BOUNDS } from "./quota_fleet.ts";

type Message = { readonly type: string; readonly usage?: readonly unknown[] };

/** Starts a member whose links record the messages sent. */
function start() {
  let hosts: readonly HostEntry[] = [];
  const links = new Map<string, { events: LinkEvents; sent: Message[] }>();
  const localOwner = new QuotaOwner({
    clock: systemClock,
    run: "own",
    keepBackup: () => undefined,
    allowance: quotaRule(() => BOUNDS),
    retentionMs: () => BOUNDS.windowMs,
    knownHosts: () => 1,
  });
  const member = new QuotaMember({
    self: { id: "self", hall: "h" },
    clock: { ...systemClock, now: () => 20_000 },
    localOwner,
    hosts: () => hosts,
    retentionMs: () => BOUNDS.windowMs,
    path: LinkPath.quota,
    noteLost: () => undefined,
    openLink: ({ address }, events) => {
      const sent: Message[] = [];
      links.set(address, { events, sent });
      return {
        send: (message) => sent.push(message as Message),
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

test("what other owners granted is reported to an owner only once", async () => {
  const { member, links, join } = start();
  member.refresh();
  for (let index = 0; index < 40; index++) {
    const outcome = await member.acquire({
      customer: `c${index}`,
      units: 1,
      rate: { perSecond: 1e9, burst: 1e9 },
      version: 1,
      mostWaitMs: 1e9,
    });
    assert.equal(outcome.type, "granted");
  }
  join("first");
  const sent = links.get("first")?.sent ?? [];
  const before = sent.flatMap((message) => message.usage ?? []).length;
  assert.ok(before > 0);
  // New hosts take over shards, so the first is sent another report.
  for (const id of ["second", "third", "fourth"]) join(id);
  assert.ok(sent.filter((message) => message.type === "member").length > 1);
  assert.equal(sent.flatMap((message) => message.usage ?? []).length, before);
});
