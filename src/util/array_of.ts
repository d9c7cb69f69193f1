/** Arrays of which one invalid item makes all invalid. */
import * as z from "zod";

/**
 * Schema of an array. Unlike that of zod, it reports only the first item that
 * `schema` doesn't accept: thousands of issues take more memory than the text.
 */
export function arrayOf<Schema extends z.ZodType>(schema: Schema) {
  const item = z.custom<z.input<Schema>>();
  return z.array(item).readonly().transform((items, context) => {
    const read: z.output<Schema>[] = [];
    for (const [index, value] of items.entries()) {
      const result = schema.safeParse(value);
      if (!result.success) {
        const [issue] = result.error.issues;
        const path = [index, ...issue?.path ?? []];
        const message = issue?.message ?? "Invalid item";
        context.addIssue({ code: "custom", path, message });
        return z.NEVER;
      }
      read.push(result.data);
    }
    return read as readonly z.output<Schema>[];
  });
}
