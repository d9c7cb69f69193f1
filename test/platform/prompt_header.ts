/** The header in which callers name the parts of a prompt. */

/** Writes the header; the ids are of the parts in order. */
export function promptHeader(parts: readonly string[]): string {
  return parts.map((part) => `${part}:100`).join();
}

/** The ids of all parts but the last. */
export function sharedPartsOf(prompt: string): string[] {
  return prompt.split(",").slice(0, -1).map((part) => part.split(":")[0] ?? "");
}
