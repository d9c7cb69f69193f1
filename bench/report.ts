/** Updates sections of generated pages. */
import { existsSync, readFileSync, writeFileSync } from "node:fs";

/** Replaces a section of a page, or appends it. */
export function writeSection(
  file: string,
  name: string,
  text: string,
): void {
  const begin = `<!-- begin ${name} -->`;
  const end = `<!-- end ${name} -->`;
  const block = `${begin}\n${text}\n${end}`;
  const page = existsSync(file) ? readFileSync(file, "utf8") : "";
  const from = page.indexOf(begin);
  const to = page.indexOf(end);
  const known = from >= 0 && to > from;
  const next = known
    ? page.slice(0, from) + block + page.slice(to + end.length)
    : `${page.trimEnd()}\n\n${block}\n`;
  writeFileSync(file, next);
}
