/** Guards against settings that are faulty at the start being waited for in vain. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { awaitSettings } from "../../src/gateway/first_settings.ts";
import type { SettingsFault } from "../../src/settings/load.ts";
import { Err, Ok, type Result } from "../../src/util/result.ts";

/** A clock whose timers run at once. */
function createClock() {
  let now = 0;
  return {
    now: () => now,
    after: (delayMs: number, callback: () => void) => {
      now += delayMs;
      queueMicrotask(callback);
      return () => undefined;
    },
  };
}

function faultOf(expected: string): Result<string, SettingsFault[]> {
  return Err([{ file: "host.toml", key: "", expected }]);
}

test("faulty settings are read until they are valid, each fault is printed once", async () => {
  const results = [faultOf("a"), faultOf("a"), faultOf("b"), Ok("settings")];
  const lines: string[] = [];
  const settings = await awaitSettings({
    load: () => results.shift() ?? faultOf("end"),
    print: (line) => lines.push(line),
    clock: createClock(),
  });
  assert.equal(settings, "settings");
  assert.deepEqual(lines.map((line) => line.split("\n")[0]), [
    "host.toml: a",
    "host.toml: b",
  ]);
});

test("settings that stay faulty are given up after 30 s", async () => {
  const clock = createClock();
  const lines: string[] = [];
  const settings = await awaitSettings<string>({
    load: () => faultOf("a"),
    print: (line) => lines.push(line),
    clock,
  });
  assert.equal(settings, undefined);
  assert.equal(clock.now(), 30_000);
  assert.match(lines.at(-1) ?? "", /host\.toml: a\n.*giving up/);
});
