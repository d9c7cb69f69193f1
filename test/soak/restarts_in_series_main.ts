#!/usr/bin/env node
/** The command line of the series of planned restarts. */
import { loadavg } from "node:os";
import { Option } from "commander";
import { makeCommand } from "../../src/programs/common/command.ts";
import { playSeries } from "./restarts_in_series.ts";
import { drawSeries } from "./restarts_in_series_plan.ts";

const parseInteger = (text: string) => Number.parseInt(text, 10);
const command = makeCommand(
  "otterhill-restarts",
  "Restarts hosts in series and checks what their callers receive.",
)
  .addOption(
    new Option("--first <seed>", "first seed").default(1)
      .argParser(parseInteger),
  )
  .addOption(
    new Option("--seeds <count>", "number of runs").default(20)
      .argParser(parseInteger),
  )
  .addOption(
    new Option("--window <ms>", "time within which hosts are stopped")
      .default(16_000).argParser(parseInteger),
  )
  .parse();
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.on(signal, () => process.exit(1));
}
type Flags = {
  readonly first: number;
  readonly seeds: number;
  readonly window: number;
};
const { first, seeds, window: windowMs } = command.opts<Flags>();
let failed = 0;
for (let seed = first; seed < first + seeds; seed++) {
  const series = drawSeries({ seed, windowMs });
  const summary = await playSeries(series).then(
    (outcome) => JSON.stringify(outcome),
    (error: unknown) => {
      failed += 1;
      return `BROKEN ${String(error)}`;
    },
  );
  const [load = 0] = loadavg();
  console.log(
    `seed ${seed}, ${series.hosts} hosts, load ${load.toFixed(1)}: ${summary}`,
  );
}
console.log(`${seeds - failed} passed, ${failed} failed`);
process.exit(failed > 0 ? 1 : 0);
