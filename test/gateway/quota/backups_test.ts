/** Tests the copies of what an owner's own host acquires. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Acquisition,
  AcquisitionLog,
} from "../../../src/gateway/quota/acquisition_log.ts";
import { Backups } from "../../../src/gateway/quota/backups.ts";
import type { MemberMessage } from "../../../src/gateway/quota/messages.ts";
import { shardOf } from "../../../src/gateway/quota/shards.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";

const CUSTOMER = "alpha";

/** Backups with a standby that records what it receives. */
function start() {
  const sent: MemberMessage[] = [];
  const acquisitions = new AcquisitionLog();
  const standby = {
    run: undefined as string | undefined,
    send: (message: MemberMessage) => void sent.push(message),
  };
  const backups = new Backups({
    clock: new VirtualTime().clock,
    localOwner: { run: "own" },
    acquisitions,
    retentionMs: () => 8000,
    standbyOf: () => standby,
  });
  const acquire = (units: number): Acquisition => {
    const request = {
      customer: CUSTOMER,
      units,
      rate: { perSecond: 1, burst: 1 },
      version: 1,
      mostWaitMs: 0,
    };
    const acquired = { request, at: 0, knownTo: new Set(["own"]) };
    acquisitions.add(acquired, -8000);
    backups.send(acquired);
    return acquired;
  };
  const copied = () =>
    sent.flatMap((message) => message.type === "backup" ? message.usage : []);
  return { sent, acquisitions, standby, backups, acquire, copied };
}

test("what was acquired before the standby is connected is copied later, once", () => {
  const { standby, backups, acquire, copied } = start();
  acquire(10);
  assert.deepEqual(copied(), []);
  standby.run = "next";
  acquire(20);
  for (let round = 0; round < 2; round++) backups.sendAll([shardOf(CUSTOMER)]);
  assert.deepEqual(copied().map(({ units }) => units), [20, 10]);
});

test("a new run of the standby receives all copies again", () => {
  const { standby, backups, acquire, copied } = start();
  standby.run = "next";
  acquire(10);
  standby.run = "next, restarted";
  backups.sendAll([shardOf(CUSTOMER)]);
  assert.deepEqual(copied().map(({ units }) => units), [10, 10]);
});

test("a released acquisition is released at the standby that has its copy", () => {
  const { sent, acquisitions, standby, backups, acquire } = start();
  const isRelease = ({ type }: MemberMessage) => type === "give-back";
  const uncopied = acquire(10);
  backups.release(uncopied, acquisitions.release(uncopied, 0));
  assert.equal(sent.filter(isRelease).length, 0);
  standby.run = "next";
  const copied = acquire(20);
  backups.release(copied, acquisitions.release(copied, 0));
  assert.equal(sent.filter(isRelease).length, 1);
});
