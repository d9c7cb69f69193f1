/**
 * Regenerates the tables of docs/CAPACITY.md from journal entries of sweeps:
 * `npm run bench:capacity -- journal/ENTRY.json...`. The table of a site is
 * between `<!-- sweep SITE -->` and `<!-- end -->`.
 */
import { readFileSync, writeFileSync } from "node:fs";
import * as z from "zod";
import { formatTable, readSweep } from "./sweep.ts";

const PAGE = "docs/CAPACITY.md";
/** The number of hosts of the target size. */
const HOSTS = 330;

const Entry = z.object({
  id: z.string(),
  cmd: z.literal("sweep"),
  site: z.string(),
  head: z.string(),
  digest: z.string(),
});

let page = readFileSync(PAGE, "utf8");
for (const file of process.argv.slice(2)) {
  const entry = Entry.parse(JSON.parse(readFileSync(file, "utf8")));
  const { id, site, head, digest } = entry;
  const start = `<!-- sweep ${site} -->`;
  const from = page.indexOf(start);
  const to = page.indexOf("<!-- end -->", from);
  if (from < 0 || to < 0) {
    throw new Error(`No table of site "${site}" in ${PAGE}`);
  }
  const source = `Middle / busiest host; journal ${id}, code of ${
    head.slice(0, 7)
  }.`;
  const text = `${start}\n\n${source}\n\n${
    formatTable(readSweep(digest), HOSTS)
  }\n\n`;
  page = page.slice(0, from) + text + page.slice(to);
  console.log(`${site}: ${id}`);
}
writeFileSync(PAGE, page);
