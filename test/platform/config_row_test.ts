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
