/** Starts the project's gateways with the command of the deploy file. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, fillTemplate, LIMITS } from "./settings.js";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const PORTS = { callers: 8149, readiness: 8141, peers: 8144, metrics: 9464 };
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;
const MAX_OCTET = 250;
const MAX_LOGGED_CHARS = 2000;

export const HALLS = ["hala-a", "hala-b", "hala-c"];

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function randomOctet() {
  return 1 + Math.floor(Math.random() * MAX_OCTET);
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Chooses a loopback network on which the ports of all hosts are free. */
export async function chooseNetwork(hosts) {
  for (;;) {
    const network = `127.${10 + randomOctet() % 200}.${randomOctet()}`;
    const isUsable = await Promise.all(
      Array.from({ length: hosts }, (_, index) => index + 1).flatMap((host) =>
        Object.values(PORTS).map((port) => isFree(`${network}.${host}`, port))
      ),
    );
    if (isUsable.every(Boolean)) return network;
  }
}

/** Reads the command of the role from the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const [program, ...args] = /^run = "([^"]*)"$/m.exec(text)[1].split(" ");
  return { program, args };
}

/** One gateway, which can be killed and started again. */
export class Gateway {
  #child;
  #exit = "it runs";
  #log;

  constructor({ number, network, seeds, store, folder }) {
    this.hall = HALLS[(number - 1) % HALLS.length];
    this.name = `frontend-${this.hall}-${number}`;
    const ip = `${network}.${number}`;
    this.callers = { host: ip, port: PORTS.callers };
    this.readiness = { host: ip, port: PORTS.readiness };
    const template = readFileSync(
      join(ROOT, "deploy", "gateway.toml"),
      "utf8",
    );
    const fields = {
      NodeName: this.name,
      IpAddress: ip,
      Zone: this.hall,
      SeedNodes: seeds,
      Listen: {
        Frontend: `${ip}:${PORTS.callers}`,
        Ready: `${ip}:${PORTS.readiness}`,
        ControlPlane: `${ip}:${PORTS.peers}`,
      },
      Limits: LIMITS,
      Bounds: BOUNDS,
      Platform: { Address: store },
    };
    this.settings = join(folder, `${this.name}.toml`);
    writeFileSync(this.settings, fillTemplate(template, [fields]));
    this.logFile = join(folder, `${this.name}.log`);
    this.#log = createWriteStream(this.logFile, { flags: "a" });
  }

  get isRunning() {
    return this.#child !== undefined;
  }

  start() {
    const { program, args } = readCommand();
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: "C",
        OTTERHILL_CONFIG: this.settings,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.pipe(this.#log, { end: false });
    child.stderr.pipe(this.#log, { end: false });
    this.#child = child;
    const end = () => child.kill("SIGKILL");
    process.on("exit", end);
    child.on("exit", (code, signal) => {
      process.off("exit", end);
      if (this.#child !== child) return;
      this.#child = undefined;
      this.#exit = `it exited with ${code ?? signal}`;
    });
  }

  async kill() {
    const child = this.#child;
    if (!child) return;
    this.#child = undefined;
    const ended = once(child, "exit");
    child.kill("SIGKILL");
    await ended;
  }

  signal(name) {
    this.#child?.kill(name);
  }

  /** Whether the readiness address answers 200. */
  isReady() {
    return new Promise((resolve) => {
      const asked = request({ ...this.readiness, path: "/readiness" });
      asked.setTimeout(1000, () => asked.destroy());
      asked.on("response", (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      asked.on("error", () => resolve(false));
      asked.end();
    });
  }

  async waitUntilReady() {
    const endsAt = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endsAt) {
      if (await this.isReady()) return;
      await sleep(POLL_MS);
    }
    const log = readFileSync(this.logFile, "utf8").slice(-MAX_LOGGED_CHARS);
    throw new Error(`${this.name} is not ready; ${this.#exit}; ${log}`);
  }
}

/** Creates gateways on a network of their own; none is started. */
export async function createGateways({ count, store }) {
  const network = await chooseNetwork(count);
  const folder = mkdtempSync(join(tmpdir(), "otterhill-review-"));
  mkdirSync(folder, { recursive: true });
  const seeds = [1, 2, 3].slice(0, count).map((host) =>
    `${network}.${host}:${PORTS.peers}`
  );
  const gateways = Array.from(
    { length: count },
    (_, index) =>
      new Gateway({ number: index + 1, network, seeds, store, folder }),
  );
  return {
    gateways,
    folder,
    async stop() {
      await Promise.all(gateways.map((gateway) => gateway.kill()));
      if (process.env.KEEP !== "1") rmSync(folder, { recursive: true });
      else console.error(`The logs are in ${folder}`);
    },
  };
}
