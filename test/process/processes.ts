/** Starts otterhill's programs as processes on free loopback ports. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sha256 } from "../../src/util/sha256.ts";

/** A started program. */
export type Program = {
  readonly child: ChildProcess;
  /** The addresses that the program prints on its first line. */
  readonly addresses: Readonly<Record<string, string>>;
  readonly exited: Promise<number | null>;
};

/** The API key of the test customer. */
export const API_KEY = "test-key";
/** The halls of the test fleet. */
export const HALLS = ["brest", "quimper", "lorient"] as const;

/** A fleet of processes. */
export class Processes {
  readonly folder = mkdtempSync(join(tmpdir(), "otterhill-"));
  readonly programs = new Map<string, Program>();
  readonly #entries: object[] = [];
  #platform = "";

  /** Starts a program with the given settings. */
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

  /** Starts the platform, the upstreams and one entry host in each hall. */
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
    for (const hall of HALLS) await this.waitUntilReady(hall);
  }

  async #startHall(hall: string): Promise<void> {
    for (const role of ["prefill", "decode", "plain"]) {
      const id = `${role}-${hall}`;
      const kind = role === "plain" ? "plain" : "engine";
      const text = `id = "${id}"\nlisten = "127.0.0.1:0"\n`;
      const { addresses } = await this.start(id, "standin", [kind], text);
      const service = role === "plain" ? "reel-api" : "recap-llm";
      const address = addresses["address"];
      const location = { hall, region: "bzh-west", address };
      this.#entries.push({ id, kind: "upstream", ...location, service, role });
    }
    await this.startHost(hall);
  }

  /** Starts a hall's entry host and records its list entry. */
  async startHost(hall: string): Promise<Program> {
    const id = `${hall}-1`;
    const { addresses, ...rest } = await this.start(
      id,
      "router",
      [],
      routerSettings(id, hall, this.#platform),
    );
    const address = addresses["peers"];
    const location = { hall, region: "bzh-west", address };
    this.#entries.push({ id, kind: "entry", ...location });
    return { addresses, ...rest };
  }

  /** Sends a POST request to the platform. */
  async post(path: string, body: unknown): Promise<void> {
    const response = await fetch(`http://${this.#platform}${path}`, {
      method: "POST",
      body: JSON.stringify(body),
    });
    if (!response.ok) throw new Error(`${path}: ${await response.text()}`);
  }

  /** The address of the platform. */
  get platform(): string {
    return this.#platform;
  }

  /** Returns the caller address of a hall's entry host. */
  callers(hall: string): string {
    return this.programs.get(`${hall}-1`)?.addresses["callers"] ?? "";
  }

  /** Returns the address of a hall's entry host for peers and operators. */
  peers(hall: string): string {
    return this.programs.get(`${hall}-1`)?.addresses["peers"] ?? "";
  }

  /** Waits until a hall's entry host serves a request. */
  async waitUntilReady(hall: string): Promise<void> {
    await eventually(async () => {
      const response = await this.complete(hall, { max_tokens: 1 });
      await response.text();
      return response.status === 200;
    });
  }

  /** Sends a completion request to a hall's entry host. */
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

  /** Returns the attempts that occupy memory at upstreams. */
  async heldAttempts(): Promise<string[]> {
    const attempts: string[] = [];
    for (const [name, program] of this.programs) {
      if (!/^(prefill|decode|plain)-/.test(name)) continue;
      const url = `http://${program.addresses["address"]}/v1/requests`;
      const response = await fetch(url);
      const { requests } = await response.json() as { requests: string[] };
      attempts.push(...requests);
    }
    return attempts;
  }

  /** Kills all processes of this fleet and removes their files. */
  async stop(): Promise<void> {
    for (const { child } of this.programs.values()) child.kill("SIGKILL");
    for (const { exited } of this.programs.values()) await exited;
    rmSync(this.folder, { recursive: true });
  }
}

/** Polls until `test` returns true; the test's timeout limits the wait. */
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
    child.on(
      "exit",
      (code) =>
        reject(new Error(`exited with code ${code} before its first line`)),
    );
  });
}

function routerSettings(id: string, hall: string, platform: string): string {
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
