/** The initial settings of fake fleets. */
import type { Change } from "../../src/standins/platform/model.ts";

const MODELS = ["recap-llm", "jazykovy-model", "paper-llm"];
const SERVICES = ["reel-api", "podatelna"];

/** Returns a template and three customers. */
export function seedRows(): Change[] {
  return [
    row("template/basic", {
      name: "basic",
      doc: "What the fakes use",
      parameters: {
        models: names("Models", MODELS),
        plain_services: names("Plain services", SERVICES),
        first_token_ms: number("First token", 560, 10, 60_000),
        between_tokens_ms: number("Between tokens", 35, 5, 1000),
        priority: number("Priority", 5, 0, 9),
        share: number("Share", 1, 0.1, 10),
        whole_prefill_tokens: number("Whole", 1024, 0, 100_000),
        doubt: {
          type: "choice",
          doc: "Doubt",
          default: "refuse",
          choices: ["refuse", "serve"],
        },
      },
    }),
    customerRow("armor", {}),
    customerRow("forum", { first_token_ms: 2000, priority: 4 }),
    customerRow("counter", { first_token_ms: 400, priority: 7 }),
  ];
}

/** Returns a customer's row, with a key hash that is derived from its name. */
export function customerRow(
  name: string,
  parameters: Record<string, number | string>,
): Change {
  const hash = hashOf(name);
  return row(`customer/${name}`, {
    name,
    template: "basic",
    parameters,
    key_hashes: [hash],
  });
}

/**
 * Returns a readable substitute for a key hash: the name in hexadecimal,
 * padded.
 */
export function hashOf(name: string): string {
  return Array.from(name)
    .map((letter) => letter.charCodeAt(0).toString(16))
    .join("")
    .padEnd(64, "0");
}

function row(key: string, value: unknown): Change {
  return { key: `settings/${key}`, value: JSON.stringify(value) };
}

function names(doc: string, choices: readonly string[]): unknown {
  return { type: "names", doc, default: choices, choices };
}

function number(
  doc: string,
  defaultValue: number,
  min: number,
  max: number,
): unknown {
  return { type: "number", doc, default: defaultValue, min, max };
}
