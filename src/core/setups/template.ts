/** Templates: which parameters a customer may fill in, and their bounds. */
import * as z from "zod";

/** A number that a customer may choose within bounds. */
const NumberParameter = z.strictObject({
  type: z.literal("number"),
  doc: z.string().min(1),
  default: z.number(),
  min: z.number(),
  max: z.number(),
});
/** A list of names that a customer may choose from. */
const NamesParameter = z.strictObject({
  type: z.literal("names"),
  doc: z.string().min(1),
  default: z.array(z.string()),
  choices: z.array(z.string()).min(1),
});
/** One word out of several. */
const ChoiceParameter = z.strictObject({
  type: z.literal("choice"),
  doc: z.string().min(1),
  default: z.string(),
  choices: z.array(z.string()).min(1),
});

/** One parameter of a template. */
export const ParameterSchema = z.discriminatedUnion("type", [
  NumberParameter,
  NamesParameter,
  ChoiceParameter,
]);
/** One parameter of a template. */
export type Parameter = z.infer<typeof ParameterSchema>;

/** The parameters that mean something to the router, with their types. */
export const PARAMETERS = {
  models: { type: "names", doc: "Models that the customer may use" },
  adapters: { type: "names", doc: "Adapters that the customer may use" },
  plain_services: { type: "names", doc: "Plain services it may call" },
  first_token_ms: {
    type: "number",
    doc: "Target for the first token, in milliseconds",
  },
  between_tokens_ms: {
    type: "number",
    doc: "Target for the mean time between tokens, in milliseconds",
  },
  priority: { type: "number", doc: "0 (least) to 9; 5 is usual" },
  share: { type: "number", doc: "Weight of the fair share under load" },
  whole_prefill_tokens: {
    type: "number",
    doc: "Uncached prompts up to this size skip the prefill pool",
  },
  doubt: {
    type: "choice",
    doc: "A keyed request that can't be checked: refuse or serve it",
  },
} as const;
/** The name of a parameter that means something to the router. */
export type ParameterName = keyof typeof PARAMETERS;

/** A template as it is published. */
export const TemplateSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9][a-z0-9-]*$/),
  doc: z.string().min(1),
  parameters: z.record(z.string(), ParameterSchema),
});
/** A template as it is published. */
export type Template = z.infer<typeof TemplateSchema>;

/** Every fault of a template; none for a good one. */
export function templateFaults(value: unknown): string[] {
  const parsed = TemplateSchema.safeParse(value);
  if (!parsed.success) {
    return parsed.error.issues.map((one) =>
      `${one.path.join(".") || "template"}: ${one.message}`
    );
  }
  const faults: string[] = [];
  for (const [name, parameter] of Object.entries(parsed.data.parameters)) {
    faults.push(...nameFaults(name, parameter));
    const fault = valueFault(parameter, parameter.default);
    if (fault) faults.push(`parameters.${name}.default: ${fault}`);
  }
  return faults;
}

function nameFaults(name: string, parameter: Parameter): string[] {
  const known = PARAMETERS[name as ParameterName];
  if (!known) {
    const names = Object.keys(PARAMETERS).join(", ");
    return [`parameters.${name}: not a parameter; expected one of ${names}`];
  }
  if (known.type === parameter.type) return [];
  return [`parameters.${name}.type: expected "${known.type}"`];
}

/** Why a value doesn't fit its parameter; undefined when it fits. */
export function valueFault(
  parameter: Parameter,
  value: unknown,
): string | undefined {
  switch (parameter.type) {
    case "number":
      return numberFault(value, parameter.min, parameter.max);
    case "choice":
      return choiceFault(value, parameter.choices);
    case "names":
      return namesFault(value, parameter.choices);
  }
}

function numberFault(
  value: unknown,
  min: number,
  max: number,
): string | undefined {
  const fits = typeof value === "number" && value >= min && value <= max;
  if (fits) return undefined;
  return `expected a number from ${min} to ${max}, got ${text(value)}`;
}

function choiceFault(
  value: unknown,
  choices: readonly string[],
): string | undefined {
  if (typeof value === "string" && choices.includes(value)) return undefined;
  return `expected one of ${choices.join(", ")}, got ${text(value)}`;
}

function namesFault(
  value: unknown,
  choices: readonly string[],
): string | undefined {
  const fits = Array.isArray(value) &&
    value.every((one) => choices.includes(one));
  if (fits) return undefined;
  return `expected names out of ${choices.join(", ")}, got ${text(value)}`;
}

function text(value: unknown): string {
  return JSON.stringify(value);
}
