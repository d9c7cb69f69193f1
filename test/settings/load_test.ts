/** Loading of settings files: defaults and faults. */
import { test } from "node:test";
import assert from "node:assert/strict";
import * as z from "zod";
import {
  checkSettings,
  formatFault,
  RouterSchema,
} from "../../src/settings/mod.ts";
import { duration, size } from "../../src/settings/units.ts";

const VALID_SETTINGS = `
[host]
id = "brest-1"
hall = "brest"
region = "bzh-west"
[listen]
callers = "127.0.0.1:8001"
peers = "[::1]:9001"
[platform]
address = "10.0.0.9:7000"
`;

test("a valid file gets its defaults, in milliseconds and bytes", () => {
  const settings = checkSettings("f", VALID_SETTINGS, RouterSchema).unwrap();
  assert.equal(settings.platform.timeout, 1000);
  assert.equal(settings.limits.body, 8 * 1024 * 1024);
});

test("all faults are reported at once with their keys", () => {
  const text = VALID_SETTINGS.replace(`id = "brest-1"`, `id = "Brest 1"`)
    .replace("8001", "eight") + "\n[limits]\nbody = 5\nbodies = 1\n";
  const faults = checkSettings("f.toml", text, RouterSchema).val;
  assert.ok(Array.isArray(faults));
  assert.deepEqual(faults.map((fault) => fault.key).sort(), [
    "host.id",
    "limits.bodies",
    "limits.body",
    "listen.callers",
  ]);
  const lines = faults.map(formatFault).join("\n");
  assert.match(lines, /^f\.toml: host\.id: expected a name/);
});

test("invalid TOML is reported with its location", () => {
  const faults = checkSettings("f", "[host", RouterSchema).val;
  assert.ok(Array.isArray(faults));
  assert.match(faults.map(formatFault).join("\n"), /TOML \(/);
});

test("a number without a unit is rejected as a duration and as a size", () => {
  const schema = z.object({ a: duration("1s"), b: size("1KB") });
  const parsed = schema.safeParse({ a: "250", b: "10" });
  assert.equal(parsed.success, false);
  assert.equal(parsed.error?.issues.length, 2);
});
