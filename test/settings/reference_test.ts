/** docs/SETTINGS.md names every setting with its default, and no other. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import * as z from "zod";
import { GatewaySchema, RouterSchema } from "../../src/settings/mod.ts";

/** What the page shows where a setting has to be given. */
const REQUIRED = "-";
/** What it shows where nothing stands for a setting. */
const NONE = "none";

type Reference = ReadonlyMap<string, string>;

/** Settings and their defaults as the schema has them. */
function inSchema(schema: z.ZodType, path: string): [string, string][] {
  const { inner, usual } = unwrap(schema);
  if (!(inner instanceof z.ZodObject)) return [[path, usual]];
  const fields = inner.shape as Record<string, z.ZodType>;
  return Object.entries(fields).flatMap(([name, field]) =>
    inSchema(field, path === "" ? name : `${path}.${name}`)
  );
}

function unwrap(schema: z.ZodType): { inner: z.ZodType; usual: string } {
  if (schema instanceof z.ZodOptional) {
    return { inner: schema.unwrap() as z.ZodType, usual: NONE };
  }
  if (schema instanceof z.ZodPrefault || schema instanceof z.ZodDefault) {
    const { defaultValue } = schema.def;
    const usual = Array.isArray(defaultValue) ? NONE : String(defaultValue);
    return { inner: schema.unwrap() as z.ZodType, usual };
  }
  return { inner: schema, usual: REQUIRED };
}

/** Settings and their defaults as the page's section has them. */
function onPage(program: string): Reference {
  const page = readFileSync("docs/SETTINGS.md", "utf8");
  const section = page.split("\n## ").find((one) => one.startsWith(program));
  const rows = (section ?? "").split("\n").filter((one) =>
    one.startsWith("| `")
  );
  const found = new Map<string, string>();
  for (const row of rows) {
    const [, keys = "", usual = ""] = row.split("|").map((one) => one.trim());
    const names = keys.split(",").map((one) => one.trim().replaceAll("`", ""));
    const defaults = usual.split(",").map((one) => one.trim());
    names.forEach((name, at) => {
      found.set(name, defaults[at] ?? defaults[0] ?? "");
    });
  }
  return found;
}

const sorted = (entries: Iterable<[string, string]>) =>
  [...entries].sort(([a], [b]) => a < b ? -1 : 1);

for (
  const [program, schema] of [
    ["otterhill-router", RouterSchema],
    ["otterhill-gateway", GatewaySchema],
  ] as const
) {
  test(`the page's settings of ${program} are those of its schema`, () => {
    assert.deepEqual(
      sorted(onPage(program)),
      sorted(inSchema(schema, "")),
    );
  });
}
