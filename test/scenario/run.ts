/** Runs all scenarios of a folder: a line each, then the count. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { runScenario } from "./scenario.ts";

const folder = process.argv[2] ?? "scenarios";
const files = readdirSync(folder).filter((name) => name.endsWith(".scn"));
let failed = 0;
for (const file of files.sort()) {
  const text = readFileSync(join(folder, file), "utf8");
  const faults = await runScenario(text);
  if (faults.length > 0) failed += 1;
  console.log(`${faults.length === 0 ? "pass" : "FAIL"}  ${file}`);
  for (const fault of faults) console.log(`      ${fault}`);
}
console.log(`scenarios: ${files.length - failed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
