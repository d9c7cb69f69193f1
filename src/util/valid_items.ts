/** Arrays of which single items may be invalid. */
import * as z from "zod";

/** Schema of an array; leaves out the items that `schema` doesn't accept. */
export function validItems<Schema extends z.ZodType>(schema: Schema) {
  const item = z.custom<z.input<Schema>>();
  return z.array(item).readonly().transform((items) =>
    items.flatMap((value) => {
      const read = schema.safeParse(value);
      return read.success ? [read.data] : [];
    }) as readonly z.output<Schema>[]
  );
}
