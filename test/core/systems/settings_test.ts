/** Settings versions rise only. */
import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createWorld,
  Mechanism,
  type PeerMessage,
  step,
  type World,
} from "../../../src/core/mod.ts";

function newWorld(disabled: ReadonlySet<Mechanism> = new Set()): World {
  return createWorld({
    self: { id: "a", hall: "h", region: "r", incarnation: 1 },
    seed: 1,
    options: { disabled },
  });
}

function pass(world: World, version: number, value: string): void {
  const rows = [{ key: "settings/stop/u", version, value }];
  const message: PeerMessage = {
    kind: { $case: "settingsRows", value: { after: 0, upTo: version, rows } },
  };
  const event = { type: "peerMessage", from: "b", incarnation: 1, message };
  step(world, [event as never], 10);
}

test("an older row that arrives late changes nothing", () => {
  const world = newWorld();
  pass(world, 7, `"new"`);
  pass(world, 3, `"old"`);
  assert.equal(world.settings.version, 7);
  assert.equal(world.settings.rows.get("settings/stop/u")?.value, `"new"`);
});

test("without the mechanism the version would fall", () => {
  const world = newWorld(new Set([Mechanism.keepVersions]));
  pass(world, 7, `"new"`);
  pass(world, 3, `"old"`);
  assert.equal(world.settings.version, 3);
});

test("a row that can't be read leaves the last good one in force", () => {
  const world = newWorld();
  const good = {
    name: "c",
    template: "t",
    parameters: {},
    key_hashes: ["0".repeat(64)],
  };
  const key = "settings/customer/c";
  for (const [version, value] of [[2, JSON.stringify(good)], [3, "{"]]) {
    const rows = [{ key, version, value }];
    const kind = {
      $case: "settingsRows",
      value: { after: 0, upTo: version, rows },
    };
    const event = { type: "peerMessage", from: "b", incarnation: 1 };
    step(world, [{ ...event, message: { kind } } as never], 10);
  }
  assert.equal(world.settings.version, 3);
  assert.equal(world.settings.rows.get(key)?.value, JSON.stringify(good));
  assert.deepEqual([...world.settings.rejected.keys()], [key]);
});
