/** Parsing of JSON from untrusted sources. */
import type { z } from "zod";

/** Parses JSON by a schema; undefined if the text or its shape is invalid. */
export function readJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.output<Schema> | undefined {
  try {
    const read = schema.safeParse(JSON.parse(text));
    return read.success ? read.data : undefined;
  } catch {
    return undefined;
  }
}
