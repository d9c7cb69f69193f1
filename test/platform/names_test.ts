/**
 * Checks that src/ and bench/ don't depend on the platform's names or adapter.
 */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import { test } from "node:test";
import { Header, SYSTEM_HEADERS } from "../../platform/names.ts";

/** Header, path and field names that only the adapter may use. */
const NAMES: readonly string[] = [
  ...new Set([
    ...Object.values(Header).filter((name) => name !== Header.retryAfter)
      .filter((name) => name !== Header.lastEventId)
      .filter((name) => name !== Header.resumes),
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

/**
 * The name of this header is a common word, so only its uses as a header count:
 * as the key of a lookup, and as a string in the case of the platform.
 */
const RESUMES_HEADER = /\[["'`]resumes["'`]\]|["'`]Resumes["'`]/;

function findNames(text: string): string[] {
  const lower = text.toLowerCase();
  return [
    ...NAMES.filter((name) => lower.includes(name.toLowerCase())),
    ...(RESUMES_HEADER.test(text) ? [Header.resumes] : []),
  ];
}

function sourceFiles(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => join(folder, name));
}

test("src and bench contain no names of the platform", () => {
  for (const file of [...sourceFiles("src"), ...sourceFiles("bench")]) {
    assert.deepEqual(findNames(readFileSync(file, "utf8")), [], file);
  }
});

test("src and bench don't import the adapter", () => {
  for (const file of [...sourceFiles("src"), ...sourceFiles("bench")]) {
    const text = readFileSync(file, "utf8");
    for (const [, target = ""] of text.matchAll(/from "(\.[^"]*)"/g)) {
      const folder = relative(".", resolve(dirname(file), target));
      assert.ok(!folder.startsWith("platform"), `${file} imports ${target}`);
    }
  }
});

test("names are found regardless of case", () => {
  assert.deepEqual(findNames('headers["KV-Source"]'), ["kv-source"]);
  for (const text of ["headers['resumes']", 'set("Resumes", id)']) {
    assert.deepEqual(findNames(text), ["resumes"]);
  }
  assert.deepEqual(findNames("it resumes the stream"), []);
});
