#!/usr/bin/env node
/** Plays seeds of the hunt for streams that are out of order, one at a time. */
import { loadavg } from "node:os";
import { Option } from "commander";
import { makeCommand } from "../../src/programs/common/command.ts";
import { huntOrder } from "./order_hunt.ts";
import { OrderFault } from "./stream_order.ts";

const MAX_SHOWN = 5;

type Flags = {
  readonly seeds: number;
  readonly first: number;
  readonly covered: boolean;
  readonly change?: string;
  readonly disruption?: string;
};

const parseInteger = (text: string) => Number.parseInt(text, 10);
const flags = makeCommand(
  "otterhill-order-hunt",
  "Disrupts hosts and replicas and checks the order of callers' streams.",
)
  .addOption(
    new Option("--seeds <count>", "number of runs").default(10)
      .argParser(parseInteger),
  )
  .addOption(
    new Option("--first <seed>", "first seed").default(1)
      .argParser(parseInteger),
  )
  .option("--covered", "hosts run for a minute first", false)
  .option("--change <name>", "the change of the replicas; drawn by default")
  .option("--disruption <name>", "that of the hosts; drawn by default")
  .parse()
  .opts<Flags>();
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.on(signal, () => process.exit(1));
}
let failed = 0;
for (let seed = flags.first; seed < flags.first + flags.seeds; seed++) {
  const { covered: isCovered, ...plan } = flags;
  const hunt = await huntOrder({ seed, isCovered, plan });
  const { rounds, streams, resumed, wentOn, disordered, folder } = hunt;
  if (disordered.length > 0) failed += 1;
  const load = loadavg().map((value) => value.toFixed(1)).join(" ");
  const counts = Object.values(OrderFault).map((fault) => {
    const count = disordered.filter((stream) => stream.fault === fault).length;
    return `${count} ${fault}`;
  });
  console.log(
    `seed ${seed}: ${counts.join(", ")}; ${streams} streams, ` +
      `${wentOn} of ${resumed} resumptions went on; load ${load}; ` +
      rounds.join("; "),
  );
  if (disordered.length === 0) continue;
  for (const { fault, detail } of disordered.slice(0, MAX_SHOWN)) {
    console.log(`  ${fault}: ${detail}`);
  }
  console.log(`  logs: ${folder}`);
}
process.exit(failed > 0 ? 1 : 0);
