/** Demo fleet: platform, engines and entry hosts in one process. */
import type { ListEntry } from "../../core/mod.ts";
import {
  checkSettings,
  EngineSchema,
  PlainSchema,
  PlatformSchema,
  RouterSchema,
} from "../../settings/mod.ts";
import { type Log, type RunningHost, startHost } from "../../shell/mod.ts";
import type { Engine } from "../../standins/engine/mod.ts";
import { startEngine } from "../../standins/engine/server.ts";
import type { RunningStandin } from "../../standins/http/json_server.ts";
import { startPlain } from "../../standins/plain/server.ts";
import { putHosts, writeRows } from "../../standins/platform/model.ts";
import { startPlatform } from "../../standins/platform/server.ts";
import { sha256 } from "../../util/sha256.ts";
import type { z } from "zod";

/** Data halls of the demo fleet. */
export const HALLS: readonly string[] = ["brest", "quimper", "lorient"];
const REGION = "bzh-west";
/** Model that the engines serve. */
export const MODEL = "recap-llm";
/** Name of the plain service. */
export const SERVICE = "reel-api";
/** API key of the demo customer. */
export const API_KEY = "demo-key";

/** A running demo fleet. */
export type DemoFleet = {
  /** Caller addresses of the entry hosts. */
  readonly targets: readonly string[];
  readonly engines: readonly Engine[];
  stop(): Promise<void>;
};

/** Starts the fleet on the loopback interface. */
export async function startFleet(log: Log): Promise<DemoFleet> {
  const platform = await startPlatform(
    parseSettings(PlatformSchema, `listen = "127.0.0.1:0"`),
  );
  writeRows(platform.platform, settingsRows());
  const entries: ListEntry[] = [];
  const standins: RunningStandin[] = [platform];
  const engines: Engine[] = [];
  const hosts: RunningHost[] = [];
  for (const hall of HALLS) {
    for (const role of ["prefill", "decode"] as const) {
      const id = `${role}-${hall}`;
      const engine = await startEngine(
        parseSettings(EngineSchema, standinSettings(id)),
      );
      standins.push(engine);
      engines.push(engine.engine);
      entries.push(upstreamEntry(id, hall, role, engine.address));
    }
    const id = `api-${hall}`;
    const plain = await startPlain(
      parseSettings(PlainSchema, standinSettings(id)),
    );
    standins.push(plain);
    entries.push(upstreamEntry(id, hall, "plain", plain.address));
  }
  for (const hall of HALLS) {
    const text = routerSettings(`${hall}-1`, hall, platform.address);
    const host = await startHost(parseSettings(RouterSchema, text), log);
    hosts.push(host);
    entries.push(hostEntry(`${hall}-1`, hall, host.peers));
  }
  putHosts(platform.platform, entries);
  const targets = hosts.map((host) => host.callers);
  await waitUntilReady(targets);
  return { targets, engines, stop: () => stopAll(hosts, standins) };
}

async function stopAll(
  hosts: readonly RunningHost[],
  standins: readonly RunningStandin[],
): Promise<void> {
  await Promise.all(hosts.map((host) => host.stop()));
  for (const standin of standins) standin.stop();
}

function parseSettings<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.output<Schema> {
  return checkSettings("demo", text, schema).unwrap();
}

function standinSettings(id: string): string {
  return `id = "${id}"\nlisten = "127.0.0.1:0"\n`;
}

function routerSettings(id: string, hall: string, platform: string): string {
  return `
[host]
id = "${id}"
hall = "${hall}"
region = "${REGION}"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
address = "${platform}"
`;
}

function hostEntry(id: string, hall: string, address: string): ListEntry {
  return {
    id,
    kind: "entry",
    hall,
    region: REGION,
    address,
    service: "",
    role: "",
    leaving: false,
    checksOrders: true,
    slots: 48,
    prefillRate: 20_000,
    cacheTokens: 200_000,
  };
}

function upstreamEntry(
  id: string,
  hall: string,
  role: string,
  address: string,
): ListEntry {
  const service = role === "plain" ? SERVICE : MODEL;
  return { ...hostEntry(id, hall, address), kind: "upstream", service, role };
}

function settingsRows() {
  const template = {
    name: "recap",
    doc: "Recaps and captions of one broadcaster",
    parameters: {
      models: {
        type: "names",
        doc: "Models",
        default: [MODEL],
        choices: [MODEL],
      },
      plain_services: {
        type: "names",
        doc: "Plain services",
        default: [SERVICE],
        choices: [SERVICE],
      },
    },
  };
  const customer = {
    name: "demo",
    template: "recap",
    parameters: {},
    key_hashes: [sha256(API_KEY)],
  };
  return [
    { key: "settings/template/recap", value: JSON.stringify(template) },
    { key: "settings/customer/demo", value: JSON.stringify(customer) },
  ];
}

/** Time for the hosts to receive settings, the listing and load reports. */
const REPORTS_DELAY_MS = 3500;

async function waitUntilReady(targets: readonly string[]): Promise<void> {
  for (const target of targets) {
    for (;;) {
      const response = await fetch(`http://${target}/readyz`);
      if (response.status === 200) break;
      await sleep(100);
    }
  }
  await sleep(REPORTS_DELAY_MS);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
