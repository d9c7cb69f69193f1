/** Route matching, adoption of configuration versions and choice of targets. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import {
  type Route,
  type RouteConfig,
  RouteKind,
} from "../../../src/gateway/mod.ts";
import {
  pickTarget,
  RouteTable,
  targetChance,
} from "../../../src/gateway/routing/route_table.ts";

function route(host: string, pathPrefix: string): Route {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    kind: RouteKind.safe,
    timeoutMs: 1000,
    objectiveMs: 100,
    gapMs: 100,
    silenceMs: 2000,
    attempts: 1,
    priority: 0,
    targets: [{ service: "s", weight: 1 }],
    resumable: false,
    anonymous: false,
  };
}

function config(version: number, routes: readonly Route[]): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes, services: [], limits };
}

test("matches the longest path prefix of the request's host", () => {
  const table = new RouteTable();
  const routes = [route("a", "/"), route("a", "/x/"), route("b", "/x/y/")];
  table.adopt(config(1, routes));
  assert.equal(table.match("a", "/x/y/z")?.pathPrefix, "/x/");
  assert.equal(table.match("A:80", "/x/?q=/x/y/")?.pathPrefix, "/x/");
  assert.equal(table.match("a", "/xy")?.pathPrefix, "/");
  assert.equal(table.match("b", "/x/"), undefined);
  assert.equal(table.match("c", "/"), undefined);
});

test("adopts the newest configuration in whatever order versions arrive", () => {
  fc.assert(fc.property(fc.array(fc.nat(50)), (versions) => {
    const table = new RouteTable();
    let newest = 0;
    for (const version of versions) {
      const isAdopted = table.adopt(config(version, []));
      assert.equal(isAdopted, table.version === version && isAdopted);
      newest = Math.max(newest, version);
      assert.equal(table.version, newest);
    }
  }));
});

test("picks targets by their weights", () => {
  const targets = [
    { service: "a", weight: 90 },
    { service: "none", weight: 0 },
    { service: "b", weight: 10 },
  ];
  assert.equal(pickTarget(targets, 0), "a");
  assert.equal(pickTarget(targets, 0.89), "a");
  assert.equal(pickTarget(targets, 0.91), "b");
  assert.equal(pickTarget(targets, 0.999999), "b");
  assert.equal(pickTarget([], 0.5), undefined);
});

test("all attempts at a resumable stream get the same service", () => {
  const draw = (chance: number) => () => chance;
  const metadata = { promptTokens: 0, outputLimit: 0 };
  const begun = { ...metadata, id: "first" };
  const resumed = { ...metadata, id: "2", lastEventId: "4", resumes: "first" };
  const other = route("h", "/");
  const resumable = { ...other, resumable: true };
  const chance = targetChance(resumable, begun, draw(0.1));
  assert.ok(chance >= 0 && chance < 1);
  assert.equal(targetChance(resumable, resumed, draw(0.9)), chance);
  assert.equal(targetChance(other, begun, draw(0.9)), 0.9);
});
