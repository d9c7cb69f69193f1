/**
 * Parsing of the configuration row: one invalid field rejects the whole row.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../fixed_seed.ts";
import { readConfigRow } from "../../platform/config_row.ts";
import { config, engineConfig } from "./configs.ts";

function read(value: unknown) {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  const Value = Buffer.from(text).toString("base64");
  return readConfigRow({ PrivateKey: "config", Value, ver: 1 });
}

test("a valid configuration is parsed with its defaults", () => {
  const plain = read(config(3, "/a/"));
  assert.ok(plain.type === "config");
  assert.equal(plain.config.version, 3);
  assert.equal(plain.config.limits.headBytes, 16_384);
  assert.deepEqual(plain.config.routes[0]?.targets, [
    { service: "plain", weight: 1 },
  ]);
  const engine = read(engineConfig(4));
  assert.ok(engine.type === "config");
  assert.deepEqual(engine.config.services[0]?.engine, {
    slots: 4,
    cacheTokens: 10_000,
    exportMs: 30_000,
    reservationMs: 30_000,
    tokensPerEvent: 1,
    switchMs: 6000,
  });
});

test("an invalid field rejects the configuration and is named in the fault", () => {
  const valid = engineConfig(1) as {
    Routes: Record<string, unknown>[];
    Services: Record<string, unknown>[];
  };
  const [route] = valid.Routes;
  const [service] = valid.Services;
  const invalid: readonly [object, string][] = [
    [{ ...valid, Version: "1" }, "Version: invalid_type"],
    [{ ...valid, Routes: {} }, "Routes: invalid_type"],
    [
      { ...valid, Routes: [{ ...route, TimeoutMs: "30" }] },
      "Routes.0.TimeoutMs: invalid_type",
    ],
    [
      { ...valid, Routes: [{ ...route, MaxAttempts: 0 }] },
      "Routes.0.MaxAttempts: too_small",
    ],
    [
      { ...valid, Routes: [{ ...route, Service: undefined }] },
      "Routes.0: custom",
    ],
    [
      { ...valid, Services: [{ ...service, ConnectionLimit: null }] },
      "Services.0.ConnectionLimit: invalid_type",
    ],
    [
      { ...valid, Tenants: [{ Name: "a", ApiKeys: "k" }] },
      "Tenants.0.ApiKeys: invalid_type",
    ],
  ];
  for (const [value, reason] of invalid) {
    assert.deepEqual(read(value), { type: "fault", reason });
  }
  assert.deepEqual(read("{"), { type: "fault", reason: "no JSON object" });
});

test("parsing a row never throws", () => {
  const content = fc.oneof(
    fc.string(),
    fc.json(),
    fc.record({
      Version: fc.anything(),
      Routes: fc.array(fc.record({
        Host: fc.anything(),
        PathPrefix: fc.anything(),
        Priority: fc.anything(),
      })),
      Services: fc.anything(),
    }).map((row) => JSON.stringify(row) ?? "null"),
  );
  fc.assert(fc.property(content, (text) => {
    assert.ok(["config", "fault"].includes(read(text).type));
  }));
});

type Path = readonly (string | number)[];

/** The paths to all fields of a value. */
function pathsOf(value: unknown, path: Path = []): Path[] {
  if (typeof value !== "object" || value === null) return [path];
  const inner = Object.entries(value)
    .flatMap(([name, field]) => pathsOf(field, [...path, name]));
  return [path, ...inner];
}

/** A copy with another value at a path. */
function replaceAt(value: unknown, path: Path, change: unknown): unknown {
  const [name, ...rest] = path;
  if (name === undefined) return change;
  const copy = Array.isArray(value) ? [...value] : { ...value as object };
  const fields = copy as Record<string | number, unknown>;
  fields[name] = replaceAt(fields[name], rest, change);
  return copy;
}

/** All numbers within a value. */
function numbersOf(value: unknown): number[] {
  if (typeof value === "number") return [value];
  if (typeof value !== "object" || value === null) return [];
  return Object.values(value).flatMap(numbersOf);
}

test("a configuration with a broken field is a fault, or all that is read is in range", () => {
  const tenant = { Name: "a", ApiKeys: ["k"], RatePerS: 5, Burst: 2 };
  const valid = { ...engineConfig(4), Tenants: [tenant] };
  const changes = fc.record({
    path: fc.constantFrom(...pathsOf(valid)),
    change: fc.oneof(
      fc.anything(),
      fc.constantFrom(1.7e308, -1.7e308, 1e300, -1, 0, 0.5, "", "1", [], {}),
    ),
  });
  const property = fc.property(changes, ({ path, change }) => {
    const result = read(replaceAt(valid, path, change) ?? null);
    if (result.type === "fault") return;
    const { version, routes, ...others } = result.config;
    assert.ok(Number.isFinite(version));
    for (const { priority, ...route } of routes) {
      assert.ok(Number.isFinite(priority));
      assert.ok(numbersOf(route).every((value) => value >= 0));
    }
    const numbers = [...numbersOf(routes), ...numbersOf(others)];
    assert.ok(numbers.every(Number.isFinite), path.join("."));
    assert.ok(numbersOf(others).every((value) => value >= 0));
  });
  fc.assert(property, { numRuns: 3000 });
});
