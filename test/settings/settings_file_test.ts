/** Guards against a change right after a load being missed. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import * as z from "zod";
import { SettingsFile } from "../../src/settings/settings_file.ts";

test("a change, a removal and a return of the file are each seen once", () => {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-settings-"));
  const path = join(folder, "host.toml");
  const file = new SettingsFile(path, z.object({ name: z.string() }));
  const changes = [
    () => writeFileSync(path, 'name = "a"'),
    () => writeFileSync(path, 'name = "long"'),
    () => rmSync(path),
    () => writeFileSync(path, 'name = "b"'),
  ];
  for (const change of changes) {
    file.load();
    assert.equal(file.isChanged, false);
    change();
    assert.equal(file.isChanged, true);
  }
  assert.deepEqual(file.load().val, { name: "b" });
  rmSync(folder, { recursive: true });
});
