/** Validates templates and customers against each other before a publish. */
import {
  type Customer,
  customerFaults,
  CustomerSchema,
  RowKey,
  type Template,
  templateFaults,
  TemplateSchema,
} from "../core/mod.ts";
import { guardKey, readRow } from "./publish.ts";
import type { ConditionalChange, Store, StoredRow } from "./store.ts";

/** Result of a check: all faults, or what a publish needs. */
export type CheckResult = {
  readonly faults: readonly string[];
  /** The current row, if it exists. */
  readonly before?: StoredRow;
  /** Changes to include in the publish; see `Change.guards`. */
  readonly guards: readonly ConditionalChange[];
};

/** Validates a template and the customers that use it. */
export async function checkTemplate(
  store: Store,
  value: unknown,
): Promise<CheckResult> {
  const faults = templateFaults(value);
  if (faults.length > 0) return { faults, guards: [] };
  const template = TemplateSchema.parse(value);
  const guard = await readRow(store, guardKey(template.name));
  const customers = await readCustomersOf(store, template);
  const customerFaultTexts = customers.flatMap((customer) =>
    customerFaults(customer, template)
      .map((fault) => `customer ${customer.name}: ${fault}`)
  );
  const before = await readRow(store, RowKey.template + template.name);
  const key = guardKey(template.name);
  const guards = [{ key, ifRevision: guard?.revision ?? 0 }];
  return { faults: customerFaultTexts, guards, ...(before ? { before } : {}) };
}

async function readCustomersOf(
  store: Store,
  template: Template,
): Promise<Customer[]> {
  const rows = await store.read(RowKey.customer);
  return rows.flatMap((row) => {
    if (row.value === null) return [];
    const parsed = CustomerSchema.safeParse(JSON.parse(row.value));
    if (!parsed.success || parsed.data.template !== template.name) return [];
    return [parsed.data];
  });
}

/** Validates a customer against its template. */
export async function checkCustomer(
  store: Store,
  value: unknown,
): Promise<CheckResult> {
  const parsed = CustomerSchema.safeParse(value);
  if (!parsed.success) {
    return { faults: customerFaults(value, undefined), guards: [] };
  }
  const { name, template: templateName } = parsed.data;
  const row = await readRow(store, RowKey.template + templateName);
  const template = row?.value
    ? TemplateSchema.parse(JSON.parse(row.value))
    : undefined;
  const faults = customerFaults(value, template);
  const before = await readRow(store, RowKey.customer + name);
  const guards: ConditionalChange[] = [
    { key: guardKey(templateName), value: name },
  ];
  if (row) {
    guards.push({ key: row.key, ifRevision: row.revision });
  }
  return { faults, guards, ...(before ? { before } : {}) };
}
