/** Many random connections with a fresh seed: `npm run fuzz`. */
import { parseArgs } from "node:util";
import fc from "fast-check";
import { fuzzCallers, planSets } from "./fuzz_callers.ts";
import { fuzzReplicas, kinds } from "./fuzz_replicas.ts";
import { responseSets } from "./replica_plan.ts";

const MEGABYTE = 1 << 20;
/** Far above what the process has at rest, and below what a leak reaches. */
const MAX_RESIDENT_MEGABYTES = 400;

const { values } = parseArgs({
  options: {
    runs: { type: "string", default: "2000" },
    seed: { type: "string" },
    /** "callers" or "replicas"; both by default. */
    side: { type: "string" },
  },
});
const seed = Number(values.seed ?? Date.now() % 2 ** 31);
const numRuns = Number(values.runs);
console.log(`seed ${seed}, ${numRuns} runs`);
function throwFaults(faults: readonly string[]): void {
  if (faults.length > 0) throw new Error(faults.join("\n"));
}

const options = { seed, numRuns, endOnFailure: false };
if (values.side !== "replicas") {
  await fc.assert(
    fc.asyncProperty(planSets, async (plans) => {
      throwFaults(await fuzzCallers(plans));
    }),
    options,
  );
}
if (values.side !== "callers") {
  await fc.assert(
    fc.asyncProperty(kinds, responseSets, async (kind, plans) => {
      throwFaults(await fuzzReplicas(kind, plans));
    }),
    options,
  );
}
const residentMegabytes = Math.round(process.memoryUsage().rss / MEGABYTE);
if (residentMegabytes > MAX_RESIDENT_MEGABYTES) {
  throw new Error(`${residentMegabytes} MB are resident at the end`);
}
console.log(`fuzz: ${numRuns} a side passed, ${residentMegabytes} MB`);
process.exit();
