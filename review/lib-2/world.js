/** A small deployment: a store, an engine's replicas, gateways and callers. */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { freePorts, Gateway } from "./gateways.js";
import { startStore } from "./store.js";

const LIB = dirname(fileURLToPath(import.meta.url));

export const SERVICE = "recap-llm";
export const PLAIN_SERVICE = "reel-api";
export const HOST = "caption.example";
export const HEARTBEAT_MS = 1200;
/** More than the queue of a replica with a small backlog takes. */
const OTHER_CONNECTIONS = 4;

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** The configuration, with figures of sites/armor-replays. */
export function configOf({ route = {}, version = 3 } = {}) {
  return {
    Version: version,
    Routes: [{
      Name: "clip-caption",
      Host: HOST,
      PathPrefix: "/clip/",
      Kind: "streaming",
      TimeoutMs: 14_000,
      TargetLatencyMs: 900,
      GapTargetMs: 300,
      MaxAttempts: 2,
      Priority: 1,
      Service: SERVICE,
      Resumable: true,
      SessionAffinity: true,
      ...route,
    }, {
      Name: "thumb-fetch",
      Host: HOST,
      PathPrefix: "/thumb/",
      Kind: "unsafe",
      TimeoutMs: 1200,
      TargetLatencyMs: 150,
      MaxAttempts: 1,
      Priority: 2,
      Service: PLAIN_SERVICE,
    }],
    Services: [{
      Name: PLAIN_SERVICE,
      HealthPath: "/health",
      ConnectionLimit: 110,
    }, {
      Name: SERVICE,
      HealthPath: "/health",
      ConnectionLimit: 370,
      InferenceEngine: {
        Slots: 64,
        KvCacheTokens: 37_745,
        HandleRetentionS: 0.5,
        HoldMs: 2000,
        Stride: 1,
        StageSwitchS: 6,
      },
    }],
    Limits: {
      MaxBodyBytes: 4_194_304,
      MaxHeaderBytes: 16_384,
      HeaderTimeoutMs: 10_000,
      IdleTimeoutMs: 15_000,
    },
  };
}

/** One replica of the engine, and the processes that have run it. */
class Replica {
  #world;
  #child;
  #parameters;

  constructor(world, parameters) {
    this.#world = world;
    this.#parameters = parameters;
    this.id = parameters.id;
  }

  get version() {
    return this.#parameters.version;
  }

  /** Starts the process; resolves when it listens. */
  start(changes = {}) {
    const parameters = this.#parameters = { ...this.#parameters, ...changes };
    const file = join(LIB, parameters.program ?? "engine.js");
    const child = this.#child = spawn(
      process.execPath,
      [file, JSON.stringify(parameters)],
      { stdio: ["ignore", "pipe", "inherit"] },
    );
    child.on("exit", () => this.#world.ended(child));
    this.#world.started(child);
    return new Promise((resolve) => {
      createInterface({ input: child.stdout }).on("line", (text) => {
        const line = JSON.parse(text);
        if (line.type === "entry") {
          if (child === this.#child) this.#world.listed(this.id, line.entry);
          return;
        }
        this.#world.record(line);
        if (line.type !== "listening") return;
        this.address = line.address;
        parameters.port = Number(line.address.split(":")[1]);
        resolve();
      });
    });
  }

  /**
   * The replica falls silent, and goes on. Meanwhile new connections of other
   * callers fill its queue, which drops those that come then.
   */
  async stall(ms) {
    this.#world.record({ type: "silent", id: this.id, ms });
    const child = this.#child;
    child.kill("SIGSTOP");
    const [host, port] = this.address.split(":");
    const others = Array.from({ length: OTHER_CONNECTIONS }, () => {
      const socket = connect(Number(port), host);
      return socket.on("error", () => undefined);
    });
    await sleep(ms);
    child.kill("SIGCONT");
    for (const socket of others) socket.destroy();
  }

  /** Ends the process as a crash does; its entry lapses later. */
  crash() {
    this.#world.record({ type: "crash", id: this.id, version: this.version });
    this.#child.kill("SIGKILL");
    this.#child = undefined;
  }
}

/** All processes and servers of a case. */
export class World {
  #children = new Set();
  #lapses = new Map();
  #folder = mkdtempSync(join(tmpdir(), "otterhill-review-"));
  #startedAt = Date.now();
  records = [];
  replicas = [];
  gateways = [];

  /** Starts a store, replicas and gateways. */
  static async start({ replicas, zones, config }) {
    const world = new World();
    process.on("exit", () => {
      world.#killAll();
      rmSync(world.#folder, { recursive: true, force: true });
    });
    world.store = await startStore();
    world.store.put("op", "config", config);
    for (const parameters of replicas) {
      const replica = new Replica(world, {
        service: SERVICE,
        host: "127.0.0.1",
        port: 0,
        slots: 64,
        kvTokens: 37_745,
        switchMs: 6000,
        handleMs: 500,
        isListedAtStart: true,
        ...parameters,
      });
      world.replicas.push(replica);
      await replica.start();
    }
    const ports = await freePorts(4 * zones.length);
    const seeds = zones.map((_, at) => `127.0.0.1:${ports[4 * at + 2]}`);
    zones.forEach((zone, at) => {
      world.gateways.push(
        new Gateway({
          name: `frontend-${zone}-${at + 1}`,
          zone,
          ports: ports.slice(4 * at, 4 * at + 4),
          seeds: seeds.slice(0, 3),
          storeAddress: world.store.address,
          folder: world.#folder,
        }),
      );
    });
    for (const gateway of world.gateways) gateway.start();
    return world;
  }

  /** Resolves to whether all gateways are ready within `ms`. */
  async isReady(ms) {
    const deadline = Date.now() + ms;
    while (Date.now() < deadline) {
      const ready = await Promise.all(
        this.gateways.map((one) => one.isReady()),
      );
      if (ready.every((one) => one)) return true;
      await sleep(100);
    }
    return false;
  }

  started(child) {
    this.#children.add(child);
  }

  ended(child) {
    this.#children.delete(child);
  }

  /** Writes a replica's entry; it goes after three heartbeats of silence. */
  listed(id, entry) {
    clearTimeout(this.#lapses.get(id));
    this.store.put("servers", id, entry);
    this.#lapses.set(
      id,
      setTimeout(() => {
        this.record({ type: "lapsed", id });
        this.store.remove("servers", id);
      }, 3 * HEARTBEAT_MS),
    );
  }

  record(line) {
    const at = (line.at ?? Date.now()) - this.#startedAt;
    this.records.push({ ...line, at });
  }

  #killAll() {
    for (const child of this.#children) {
      if (child.pid !== undefined) child.kill("SIGKILL");
    }
    for (const gateway of this.gateways) gateway.signal("SIGKILL");
  }

  async stop() {
    for (const timer of this.#lapses.values()) clearTimeout(timer);
    this.#killAll();
    await Promise.all(this.gateways.map((gateway) => gateway.exited));
    this.store.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
