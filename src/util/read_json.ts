/** JSON from outside, checked by a schema. */
import type { z } from "zod";

/** Reads JSON of a schema's shape; undefined when it is no such thing. */
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
