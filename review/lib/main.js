/** Runs a case and exits with its verdict. */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Record } from "./record.js";

const BROKEN = 1;
const HELD = 0;
const NOT_RUN = 2;
const MAX_RUN_MS = 115_000;

/** Whether the disruption is part of the run. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/**
 * `play` resolves to the lines that say what broke the rule, none if it held,
 * and throws if the case could not run.
 */
export async function runCase(moduleUrl, play) {
  const folder = dirname(fileURLToPath(moduleUrl));
  const record = new Record(join(folder, "record.txt"));
  const ends = [];
  const onEnd = (end) => void ends.push(end);
  const timer = setTimeout(() => {
    record.say("The case did not end in time");
    void finish(NOT_RUN);
  }, MAX_RUN_MS);
  const finish = async (status) => {
    clearTimeout(timer);
    for (const end of ends.reverse()) await end();
    await record.close();
    process.exit(status);
  };
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => void finish(NOT_RUN));
  }
  try {
    const breaks = await play({ record, onEnd });
    for (const line of breaks) record.say(line);
    record.say(breaks.length > 0 ? "The rule was broken" : "The rule held");
    await finish(breaks.length > 0 ? BROKEN : HELD);
  } catch (error) {
    record.say(`The case could not run: ${error.stack}`);
    await finish(NOT_RUN);
  }
}
