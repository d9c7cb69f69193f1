/** The platform's names stay in platform/ and deploy/. */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import { test } from "node:test";
import { Header, SYSTEM_HEADERS } from "../../platform/names.ts";

/** Names of calls and fields that only the adapter may spell. */
const NAMES: readonly string[] = [
  ...new Set([
    ...Object.values(Header).filter((one) => one !== Header.retryAfter)
      .filter((one) => one !== Header.lastEventId),
    ...SYSTEM_HEADERS,
    "rows-tx",
    "rows-get",
    "rows-feed",
    "hold-take",
    "hold-drop",
    "kv-handle",
    "PrefillHandle",
    "PrivateKey",
    "FencingToken",
    "InferenceEngine",
    "MaxAttempts",
    "OTTERHILL_CONFIG",
  ]),
];

function findNames(text: string): string[] {
  const lower = text.toLowerCase();
  return NAMES.filter((name) => lower.includes(name.toLowerCase()));
}

function sourceFiles(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => join(folder, name));
}

test("no name of the platform stands outside its folder", () => {
  for (const file of [...sourceFiles("src"), ...sourceFiles("bench")]) {
    assert.deepEqual(findNames(readFileSync(file, "utf8")), [], file);
  }
});

test("nothing of the product imports the adapter", () => {
  for (const file of [...sourceFiles("src"), ...sourceFiles("bench")]) {
    const text = readFileSync(file, "utf8");
    for (const [, target = ""] of text.matchAll(/from "(\.[^"]*)"/g)) {
      const folder = relative(".", resolve(dirname(file), target));
      assert.ok(!folder.startsWith("platform"), `${file} imports ${target}`);
    }
  }
});

test("the check finds a name, however it is written", () => {
  assert.deepEqual(findNames('headers["KV-Source"]'), ["kv-source"]);
});
