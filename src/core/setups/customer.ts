/** Customers: a template's name, their own parameters and their API keys. */
import * as z from "zod";
import { type Template, valueFault } from "./template.ts";

/** A customer as it is published. */
export const CustomerSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9][a-z0-9-]*$/),
  template: z.string(),
  parameters: z.record(
    z.string(),
    z.union([z.number(), z.string(), z.array(z.string())]),
  ),
  /** SHA-256 of each API key, in hex. */
  key_hashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
});
/** A customer as it is published. */
export type Customer = z.infer<typeof CustomerSchema>;

/** Every fault of a customer against its template; none for a good one. */
export function customerFaults(
  value: unknown,
  template: Template | undefined,
): string[] {
  const parsed = CustomerSchema.safeParse(value);
  if (!parsed.success) {
    return parsed.error.issues.map((one) =>
      `${one.path.join(".") || "customer"}: ${one.message}`
    );
  }
  if (!template) {
    return [`template: no template named "${parsed.data.template}"`];
  }
  return Object.entries(parsed.data.parameters).flatMap(([name, its]) => {
    const parameter = template.parameters[name];
    if (!parameter) {
      return [`parameters.${name}: not in template "${template.name}"`];
    }
    const fault = valueFault(parameter, its);
    return fault ? [`parameters.${name}: ${fault}`] : [];
  });
}
