/**
 * Starts the gateways by the deploy file: its command, and its template of
 * settings, filled with the fields that the platform's pages list.
 */
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "node:http";

/** The repository. */
export const ROOT = dirname(
  dirname(dirname(fileURLToPath(import.meta.url))),
);

/** Returns free ports of 127.0.0.1. */
export async function freePorts(count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise((resolve) => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => resolve(server));
      })),
  );
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) server.close();
  return ports;
}

/** The command and the template that the deploy file names. */
export function readDeployFile() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const valueOf = (name) => new RegExp(`^${name} = "(.*)"$`, "m").exec(text)[1];
  return { run: valueOf("run").split(" "), template: valueOf("template") };
}

/** Fills a template as the pages say, by what this project's one uses. */
export function fillTemplate(text, fields) {
  const valueOf = (name, scope) => {
    if (name === ".") return scope["."];
    const path = name.split(".");
    const start = path[0] in scope ? scope : fields;
    return path.reduce((value, key) => value?.[key], start);
  };
  const fill = (part, scope) => {
    const withLists = part.replace(
      /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g,
      (_, kind, name, inner) => {
        const value = valueOf(name, scope);
        const isGiven = value !== undefined && value !== false;
        if (kind === "^") return isGiven ? "" : fill(inner, scope);
        if (!isGiven) return "";
        if (!Array.isArray(value)) return fill(inner, scope);
        return value.map((entry, at) => {
          const comma = at + 1 < value.length ? "," : "";
          const text = inner.replaceAll("{{,}}", comma);
          return fill(text, { ...scope, ".": entry });
        }).join("");
      },
    );
    return withLists.replace(
      /\{\{([\w.]+)\}\}/g,
      (_, name) => String(valueOf(name, scope) ?? ""),
    );
  };
  return fill(text, {});
}

const BOUNDS = {
  SeedLagS: 3,
  AddressReuseS: 2,
  ContactTimeoutMs: 3000,
  AcknowledgeMs: 4000,
  CatchUpS: 4,
  DrainTimeoutMs: 2000,
  GracePeriodS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  DowngradeSlackMs: 250,
  PartitionBoundMs: 5000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  RetryBudgetExtra: 58,
  RecoveryS: 12,
  PropagationMs: 120,
  RetryAfterS: 5.7,
  FencingRequired: true,
  LeaseDurationMs: 3000,
  ThawSlackMs: 300,
};

/** A gateway process that can be killed and started again. */
export class Gateway {
  #folder;
  #command;
  #child;
  #log = [];

  constructor({ name, zone, ports, seeds, storeAddress, folder }) {
    const [callers, ready, peers] = ports.map((port) => `127.0.0.1:${port}`);
    const { run, template } = readDeployFile();
    const fields = {
      NodeName: name,
      Zone: zone,
      IpAddress: "127.0.0.1",
      SeedNodes: seeds,
      Listen: { Frontend: callers, Ready: ready, ControlPlane: peers },
      Limits: {
        CpuShare: 0.675,
        CpuCores: 1,
        MemoryMb: 200,
        FileDescriptors: 4100,
        LinkMbps: 1000.0,
      },
      Bounds: BOUNDS,
      Platform: { Address: storeAddress },
    };
    const text = readFileSync(join(ROOT, template), "utf8");
    // All gateways of a case share one address, so the port of the metrics,
    // which is a fixed one, has to differ.
    const settings = fillTemplate(text, fields)
      .replace("127.0.0.1:9464", `127.0.0.1:${ports[3]}`);
    this.name = name;
    this.callers = callers;
    this.ready = ready;
    this.#folder = folder;
    this.#command = run;
    this.settingsFile = join(folder, `${name}.toml`);
    writeFileSync(this.settingsFile, settings);
  }

  start() {
    const [program, ...words] = this.#command;
    const { PATH, HOME, LANG = "C.UTF-8" } = process.env;
    this.#child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, OTTERHILL_CONFIG: this.settingsFile },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const keep = (bytes) => this.#log.push(bytes);
    this.#child.stdout.on("data", keep);
    this.#child.stderr.on("data", keep);
    this.exited = new Promise((resolve) => {
      this.#child.on("exit", (code, signal) => resolve({ code, signal }));
      this.#child.on("error", (error) => resolve({ error }));
    });
  }

  get pid() {
    return this.#child.pid;
  }

  /** Does nothing if the process couldn't be started: it has no id then. */
  signal(name) {
    if (this.#child?.pid !== undefined) this.#child.kill(name);
  }

  /** The lines that the process has logged. */
  get log() {
    return Buffer.concat(this.#log).toString("utf8");
  }

  /** Whether the readiness check passes. */
  isReady() {
    const [host, port] = this.ready.split(":");
    return new Promise((resolve) => {
      const outgoing = request(
        { host, port, path: "/readiness", agent: false },
        (answer) => {
          answer.resume();
          resolve(answer.statusCode === 200);
        },
      );
      outgoing.setTimeout(1000, () => outgoing.destroy());
      outgoing.on("error", () => resolve(false));
      outgoing.end();
    });
  }
}
