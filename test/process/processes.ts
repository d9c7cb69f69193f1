/** Starts otterhill's programs as processes on loopback, ports free. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sha256 } from "../../src/util/sha256.ts";

/** One started program. */
export type Program = {
  readonly child: ChildProcess;
  /** What it printed first: its addresses. */
  readonly addresses: Readonly<Record<string, string>>;
  readonly exited: Promise<number | null>;
};

/** The key of the test customer, and the halls of the test fleet. */
export const API_KEY = "test-key";
export const HALLS = ["brest", "quimper", "lorient"] as const;

/** A fleet of processes. */
export class Processes {
  readonly folder = mkdtempSync(join(tmpdir(), "otterhill-"));
  readonly programs = new Map<string, Program>();
  readonly #entries: object[] = [];
  #platform = "";

  /** Starts a program with a settings text. */
  async start(
    name: string,
    program: string,
    args: readonly string[],
    settings: string,
  ): Promise<Program> {
    const file = join(this.folder, `${name}.toml`);
    writeFileSync(file, settings);
    const main = `dist/src/programs/${program}/main.js`;
    const child = spawn(
      process.execPath,
      [main, ...args, "--settings", file],
      { stdio: ["ignore", "pipe", "ignore"] },
    );
    const exited = new Promise<number | null>((resolve) => {
      child.on("exit", (code) => resolve(code));
    });
    const addresses = JSON.parse(await firstLine(child)) as Record<
      string,
      string
    >;
    const started = { child, addresses, exited };
    this.programs.set(name, started);
    return started;
  }

  /** Starts platform, upstreams and one entry host in each hall. */
  async startFleet(): Promise<void> {
    const platform = await this.start(
      "platform",
      "standin",
      ["platform"],
      `listen = "127.0.0.1:0"`,
    );
    this.#platform = platform.addresses["address"] ?? "";
    for (const hall of HALLS) await this.#startHall(hall);
    await this.post("/hosts", { hosts: this.#entries });
    await this.post("/table", { changes: settingsRows() });
    for (const hall of HALLS) await this.ready(hall);
  }

  async #startHall(hall: string): Promise<void> {
    for (const role of ["prefill", "decode", "plain"]) {
      const id = `${role}-${hall}`;
      const kind = role === "plain" ? "plain" : "engine";
      const text = `id = "${id}"\nlisten = "127.0.0.1:0"\n`;
      const { addresses } = await this.start(id, "standin", [kind], text);
      const service = role === "plain" ? "reel-api" : "recap-llm";
      const address = addresses["address"];
      const place = { hall, region: "bzh-west", address };
      this.#entries.push({ id, kind: "upstream", ...place, service, role });
    }
    await this.startHost(hall);
  }

  /** Starts a hall's entry host and lists it. */
  async startHost(hall: string): Promise<Program> {
    const id = `${hall}-1`;
    const { addresses, ...rest } = await this.start(
      id,
      "router",
      [],
      routerText(id, hall, this.#platform),
    );
    const address = addresses["peers"];
    const place = { hall, region: "bzh-west", address };
    this.#entries.push({ id, kind: "entry", ...place });
    return { addresses, ...rest };
  }

  /** Calls the platform. */
  async post(path: string, body: unknown): Promise<void> {
    const answer = await fetch(`http://${this.#platform}${path}`, {
      method: "POST",
      body: JSON.stringify(body),
    });
    if (!answer.ok) throw new Error(`${path}: ${await answer.text()}`);
  }

  /** Where the platform is. */
  get platform(): string {
    return this.#platform;
  }

  /** Where callers reach a hall's entry host. */
  callers(hall: string): string {
    return this.programs.get(`${hall}-1`)?.addresses["callers"] ?? "";
  }

  /** Where peers and operators reach a hall's entry host. */
  peers(hall: string): string {
    return this.programs.get(`${hall}-1`)?.addresses["peers"] ?? "";
  }

  /** Waits until an entry host serves a first request. */
  async ready(hall: string): Promise<void> {
    await eventually(async () => {
      const answer = await this.complete(hall, { max_tokens: 1 });
      await answer.text();
      return answer.status === 200;
    });
  }

  /** Sends a completion to a hall's entry host. */
  complete(
    hall: string,
    body: object,
    headers: Readonly<Record<string, string>> = {},
    signal?: AbortSignal,
  ): Promise<Response> {
    return fetch(`http://${this.callers(hall)}/v1/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${API_KEY}`, ...headers },
      body: JSON.stringify({ model: "recap-llm", prompt: "a goal", ...body }),
      ...(signal ? { signal } : {}),
    });
  }

  /** Attempts that all upstreams hold. */
  async held(): Promise<string[]> {
    const all: string[] = [];
    for (const [name, program] of this.programs) {
      if (!/^(prefill|decode|plain)-/.test(name)) continue;
      const url = `http://${program.addresses["address"]}/v1/requests`;
      const answer = await fetch(url);
      const { requests } = await answer.json() as { requests: string[] };
      all.push(...requests);
    }
    return all;
  }

  /** Ends all processes that this fleet started. */
  async stop(): Promise<void> {
    for (const { child } of this.programs.values()) child.kill("SIGKILL");
    for (const { exited } of this.programs.values()) await exited;
    rmSync(this.folder, { recursive: true });
  }
}

/** Tries until it is true; the runner's own limit ends it otherwise. */
export async function eventually(
  test: () => Promise<boolean>,
): Promise<void> {
  while (!await test()) {
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}

function firstLine(child: ChildProcess): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = "";
    child.stdout?.on("data", (part: Buffer) => {
      text += part.toString("utf8");
      const end = text.indexOf("\n");
      if (end >= 0) resolve(text.slice(0, end));
    });
    child.on("exit", (code) => reject(new Error(`ended with ${code}`)));
  });
}

function routerText(id: string, hall: string, platform: string): string {
  return `
[host]
id = "${id}"
hall = "${hall}"
region = "bzh-west"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
address = "${platform}"
[limits]
body = "64KB"
`;
}

function settingsRows(): object[] {
  const names = (choices: string[]) => ({
    type: "names",
    doc: "What it may use",
    default: choices,
    choices,
  });
  const template = {
    name: "basic",
    doc: "For tests",
    parameters: {
      models: names(["recap-llm"]),
      plain_services: names(["reel-api"]),
      priority: {
        type: "number",
        doc: "Priority",
        default: 5,
        min: 0,
        max: 9,
      },
    },
  };
  const customer = {
    name: "armor",
    template: "basic",
    parameters: {},
    key_hashes: [sha256(API_KEY)],
  };
  return [
    {
      key: "settings/template/basic",
      value: JSON.stringify(template),
    },
    { key: "settings/customer/armor", value: JSON.stringify(customer) },
  ];
}
