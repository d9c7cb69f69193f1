#!/usr/bin/env node
/** Plays resumptions at a host that stood still, beside busy processes. */
import { spawn } from "node:child_process";
import { loadavg } from "node:os";
import { execPath } from "node:process";
import { Option } from "commander";
import { makeCommand } from "../../src/programs/common/command.ts";
import { resumeAtFrozenHost } from "./frozen_host.ts";
import { findMixedStreams, hasEvents } from "./resumptions.ts";
import { withFleet } from "./test_fleet.ts";

const HOSTS = 3;

type Flags = {
  readonly busy: number;
  readonly streams: number;
  readonly frozen: number;
  readonly interval: number;
};

const parseInteger = (text: string) => Number.parseInt(text, 10);
const countOption = (name: string, text: string, value: number) =>
  new Option(`--${name} <count>`, text).default(value).argParser(parseInteger);
const { busy, streams, frozen, interval } = makeCommand(
  "otterhill-frozen-host",
  "Takes streams up at a host that stood still while a version joined.",
)
  .addOption(countOption("busy", "number of busy processes", 5))
  .addOption(countOption("streams", "number of streams", 72))
  .addOption(countOption("frozen", "milliseconds of the freeze", 4000))
  .addOption(countOption("interval", "milliseconds between resumptions", 0))
  .parse()
  .opts<Flags>();

const processes = Array.from(
  { length: busy },
  () => spawn(execPath, ["-e", "for(;;);"], { stdio: "ignore" }),
);
try {
  await withFleet(async (fleet) => {
    const plan = {
      streams,
      frozenMs: frozen,
      resumeIntervalMs: interval,
    };
    const attempts = await resumeAtFrozenHost(fleet, plan);
    const resumed = attempts.filter(({ resumption }) => resumption);
    const wentOn = resumed.filter(hasEvents).length;
    const unread = resumed.filter(({ status }) => status === 0).length;
    const load = loadavg().map((value) => value.toFixed(1)).join(" ");
    console.log(
      `${wentOn} of ${resumed.length} went on, ${unread} without a response, ` +
        `${findMixedStreams(attempts).length} of two versions; load ${load}`,
    );
  }, { hosts: HOSTS });
} finally {
  for (const child of processes) child.kill();
}
process.exit(0);
