/** Checks that docs/SETTINGS.md lists exactly the schemas' settings. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import * as z from "zod";
import { GatewaySchema, RouterSchema } from "../../src/settings/mod.ts";

/** The page's default of a required setting. */
const REQUIRED = "-";
/** The page's default of an optional setting without a default. */
const NONE = "none";

/** Defaults by settings key. */
type Reference = ReadonlyMap<string, string>;

/** The settings of a schema with their defaults. */
function schemaSettings(schema: z.ZodType, path: string): [string, string][] {
  const { inner, defaultText } = unwrap(schema);
  if (!(inner instanceof z.ZodObject)) return [[path, defaultText]];
  const fields = inner.shape as Record<string, z.ZodType>;
  return Object.entries(fields).flatMap(([name, field]) =>
    schemaSettings(field, path === "" ? name : `${path}.${name}`)
  );
}

function unwrap(schema: z.ZodType): { inner: z.ZodType; defaultText: string } {
  if (schema instanceof z.ZodOptional) {
    return { inner: schema.unwrap() as z.ZodType, defaultText: NONE };
  }
  if (schema instanceof z.ZodPrefault || schema instanceof z.ZodDefault) {
    const { defaultValue } = schema.def;
    const defaultText = Array.isArray(defaultValue)
      ? NONE
      : String(defaultValue);
    return { inner: schema.unwrap() as z.ZodType, defaultText };
  }
  return { inner: schema, defaultText: REQUIRED };
}

/** The settings of a program's section of the page with their defaults. */
function documentedSettings(program: string): Reference {
  const page = readFileSync("docs/SETTINGS.md", "utf8");
  const section = page.split("\n## ").find((part) => part.startsWith(program));
  const rows = (section ?? "").split("\n").filter((line) =>
    line.startsWith("| `")
  );
  const found = new Map<string, string>();
  for (const row of rows) {
    const [, keys = "", defaultText = ""] = row.split("|").map((cell) =>
      cell.trim()
    );
    const names = keys.split(",").map((key) => key.trim().replaceAll("`", ""));
    const defaults = defaultText.split(",").map((value) => value.trim());
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
  test(`docs/SETTINGS.md lists the settings of ${program} with their defaults`, () => {
    assert.deepEqual(
      sorted(documentedSettings(program)),
      sorted(schemaSettings(schema, "")),
    );
  });
}
