/** Loads TOML settings files and validates them against their schema. */
import { readFileSync } from "node:fs";
import { parse, TomlError } from "smol-toml";
import type { z } from "zod";
import { Err, Ok, type Result } from "../util/result.ts";

/** One fault in a settings file. */
export type SettingsFault = {
  readonly file: string;
  /** Dotted path of the key; "" for the file as a whole. */
  readonly key: string;
  readonly expected: string;
};

/** Loads a file; returns its settings or all its faults. */
export function loadSettings<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Result<z.output<Schema>, SettingsFault[]> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return Err([{ file, key: "", expected: `a readable file (${error})` }]);
  }
  return checkSettings(file, text, schema);
}

/** Validates the text of a settings file; `file` is used only in faults. */
export function checkSettings<Schema extends z.ZodType>(
  file: string,
  text: string,
  schema: Schema,
): Result<z.output<Schema>, SettingsFault[]> {
  let value: unknown;
  try {
    value = parse(text);
  } catch (error) {
    const reason = error instanceof TomlError ? error.message : String(error);
    return Err([{ file, key: "", expected: `TOML (${reason.trim()})` }]);
  }
  const checked = schema.safeParse(value);
  if (checked.success) return Ok(checked.data);
  return Err(checked.error.issues.map((issue) => faultOf(file, issue)));
}

function faultOf(file: string, issue: z.core.$ZodIssue): SettingsFault {
  const path = issue.path.map(String);
  if (issue.code !== "unrecognized_keys") {
    return { file, key: path.join("."), expected: issue.message };
  }
  const key = [...path, issue.keys.join(", ")].join(".");
  return { file, key, expected: "no such key; see docs/SETTINGS.md" };
}

/** Formats a fault as one line. */
export function formatFault(fault: SettingsFault): string {
  const location = fault.key === ""
    ? fault.file
    : `${fault.file}: ${fault.key}`;
  return `${location}: ${fault.expected}`;
}
