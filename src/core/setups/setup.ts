/** Works out a customer's setup from its template and its parameters. */
import type { CustomerId } from "../../util/ids.ts";
import type { Settings, Setup } from "../tables/settings.ts";
import { type Customer, CustomerSchema } from "./customer.ts";
import { type Template, TemplateSchema } from "./template.ts";

/** Prefixes of the settings rows' keys. */
export const RowKey = {
  all: "settings/",
  template: "settings/template/",
  customer: "settings/customer/",
  stop: "settings/stop/",
  split: "settings/split/",
} as const;

/** What holds for a parameter that the template leaves out. */
export const DEFAULT_SETUP: Setup = {
  models: [],
  adapters: [],
  plainServices: [],
  firstTokenMs: 560,
  betweenTokensMs: 35,
  priority: 5,
  share: 1,
  wholePrefillTokens: 1024,
  doubt: "refuse",
};

/** The customer's setup; undefined when its rows are missing. */
export function setupOf(
  settings: Settings,
  customer: CustomerId,
): Setup | undefined {
  const known = settings.setups.get(customer);
  if (known) return known;
  const made = makeSetup(settings, customer);
  if (made) settings.setups.set(customer, made);
  return made;
}

function makeSetup(
  settings: Settings,
  name: CustomerId,
): Setup | undefined {
  const customer = readCustomer(settings, name);
  if (!customer) return undefined;
  const template = readTemplate(settings, customer.template);
  if (!template) return undefined;
  return combine(template, customer);
}

/** The customer's row, parsed. */
export function readCustomer(
  settings: Settings,
  name: CustomerId,
): Customer | undefined {
  const row = settings.rows.get(RowKey.customer + name);
  if (!row?.value) return undefined;
  return CustomerSchema.parse(JSON.parse(row.value));
}

/** The template's row, parsed. */
export function readTemplate(
  settings: Settings,
  name: string,
): Template | undefined {
  const row = settings.rows.get(RowKey.template + name);
  if (!row?.value) return undefined;
  return TemplateSchema.parse(JSON.parse(row.value));
}

/** A customer's parameters over its template's defaults over ours. */
export function combine(template: Template, customer: Customer): Setup {
  const value = (name: string): unknown =>
    customer.parameters[name] ?? template.parameters[name]?.default;
  const number = (name: string, otherwise: number): number => {
    const its = value(name);
    return typeof its === "number" ? its : otherwise;
  };
  const names = (name: string): readonly string[] => {
    const its = value(name);
    return Array.isArray(its) ? its : [];
  };
  const base = DEFAULT_SETUP;
  return {
    models: names("models"),
    adapters: names("adapters"),
    plainServices: names("plain_services"),
    firstTokenMs: number("first_token_ms", base.firstTokenMs),
    betweenTokensMs: number("between_tokens_ms", base.betweenTokensMs),
    priority: number("priority", base.priority),
    share: number("share", base.share),
    wholePrefillTokens: number("whole_prefill_tokens", base.wholePrefillTokens),
    doubt: value("doubt") === "serve" ? "serve" : base.doubt,
  };
}
