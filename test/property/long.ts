/** Many random schedules with a fresh seed: `npm run test:long`. */
import { parseArgs } from "node:util";
import fc from "fast-check";
import { play } from "./play.ts";
import { schedules } from "./schedule.ts";

const { values } = parseArgs({
  options: {
    runs: { type: "string", default: "2000" },
    seed: { type: "string" },
  },
});
const seed = Number(values.seed ?? Date.now() % 2 ** 31);
const numRuns = Number(values.runs);
console.log(`seed ${seed}, ${numRuns} runs`);
fc.assert(
  fc.property(schedules, (schedule) => {
    const faults = play(schedule);
    if (faults.length > 0) throw new Error(faults.join("\n"));
  }),
  { seed, numRuns, endOnFailure: false },
);
console.log(`property: ${numRuns} passed, 0 failed`);
