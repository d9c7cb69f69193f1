/** Runs one scenario in virtual time. */
import type { Options } from "../../src/core/mod.ts";
import { ACTIONS, newStage, type Stage } from "./actions.ts";
import { EXPECTATIONS } from "./expectations.ts";
import { type Line, parseScenario } from "./parse.ts";

/** Runs a scenario's text; gives a line for each thing that did not hold. */
export async function runScenario(
  text: string,
  options: Partial<Options> = {},
): Promise<string[]> {
  const stage = newStage(options);
  const faults: string[] = [];
  for (const line of parseScenario(text)) {
    stage.fleet.runUntil(Math.max(line.at, stage.fleet.now));
    const fault = await runLine(stage, line);
    if (fault) faults.push(`line ${line.number}: ${line.text}: ${fault}`);
  }
  return faults;
}

async function runLine(
  stage: Stage,
  line: Line,
): Promise<string | undefined> {
  if (line.verb === "expect") return expectLine(stage, line);
  const action = ACTIONS[line.verb];
  if (!action) throw new Error(`line ${line.number}: no verb "${line.verb}"`);
  await action(stage, line.words, line);
  return undefined;
}

function expectLine(stage: Stage, line: Line): string | undefined {
  const [what, ...words] = line.words;
  const expectation = EXPECTATIONS[what ?? ""];
  if (!expectation) {
    throw new Error(`line ${line.number}: can't expect "${what}"`);
  }
  return expectation(stage, words);
}
