/** An entry host: connects the core to callers, upstreams and peers. */
import { readFileSync } from "node:fs";
import type { Server } from "node:http";
import {
  credentials as grpcCredentials,
  ServerCredentials,
} from "@grpc/grpc-js";
import {
  type AttemptId,
  createWorld,
  type Event,
  type HostList,
  type Options,
  type Order,
  requestId,
  setupOf,
  type World,
} from "../core/mod.ts";
import type { RouterSettings } from "../settings/mod.ts";
import { parseListenAddress } from "../util/address.ts";
import { sha256 } from "../util/sha256.ts";
import { type Callers, createCallers } from "./callers/server.ts";
import { monotonicNow, newIncarnation } from "./clock.ts";
import { answerControl } from "./control/answer.ts";
import type { Log } from "./log.ts";
import { type Loop, startLoop } from "./loop.ts";
import { BurnTable } from "./measures/burn_table.ts";
import { Explanations } from "./measures/explanations.ts";
import { metricsPage } from "./measures/exposition.ts";
import { Peers } from "./peers/client.ts";
import { bindServer, createPeerServer } from "./peers/server.ts";
import { carryOutPlatform, PlatformClient } from "./platform/client.ts";
import { Upstreams } from "./upstreams/client.ts";
import { readHeld } from "./upstreams/held.ts";

/** A running entry host. */
export type RunningHost = {
  /** Address for callers, with the bound port. */
  readonly callers: string;
  /** Address for peers, with the bound port. */
  readonly peers: string;
  /**
   * Rejects new requests and resolves when the open ones have ended or the stop
   * timeout has passed.
   */
  stop(): Promise<void>;
};

export async function startHost(
  settings: RouterSettings,
  log: Log,
): Promise<RunningHost> {
  const host = new Host(settings, log);
  return await host.start();
}

class Host {
  readonly #settings: RouterSettings;
  readonly #log: Log;
  readonly #world: World;
  readonly #platform: PlatformClient;
  readonly #upstreams: Upstreams;
  readonly #peers: Peers;
  readonly #callers: Callers;
  readonly #burn = new BurnTable();
  readonly #explanations = new Explanations();
  readonly #secret: string;
  #loop: Loop | undefined;
  #requests = 0;
  #resolveStopped: () => void = () => undefined;

  constructor(settings: RouterSettings, log: Log) {
    this.#settings = settings;
    this.#log = log;
    const incarnation = newIncarnation();
    const self = { ...settings.host, incarnation };
    const options = optionsOf(settings);
    this.#world = createWorld({ self, seed: incarnation, options });
    this.#platform = new PlatformClient({
      address: settings.platform.address,
      timeoutMs: settings.platform.timeout,
    });
    this.#secret = secretOf(settings);
    const push = (event: Event): void => this.#loop?.push(event);
    this.#upstreams = new Upstreams({
      push,
      addressOf: (id) => this.#world.upstreams.get(id)?.address,
      callsPerUpstream: settings.limits.calls_per_upstream,
      connectTimeoutMs: settings.limits.connect_timeout,
    });
    this.#peers = new Peers({
      self: this.#world.self,
      push,
      addressOf: (id) => this.#world.hosts.get(id)?.address,
      timeoutMs: settings.limits.peer_timeout,
      credentials: grpcCredentials.createInsecure(),
      secret: this.#secret,
    });
    this.#callers = createCallers({
      push,
      newRequestId: () => this.#newRequestId(),
      bodyLimit: settings.limits.body,
      unsentLimit: settings.limits.unsent_answer,
      models: (key) => this.#modelsOf(key),
      notReady: () => this.#notReady(),
      metrics: () =>
        metricsPage({
          world: this.#world,
          openCalls: this.#callers.openCount(),
        }),
    });
  }

  async start(): Promise<RunningHost> {
    const { listen } = this.#settings;
    this.#loop = startLoop(this.#world, (orders) => this.#carryOut(orders));
    const seeds = seedList(this.#settings);
    if (seeds.entries.length > 0) {
      this.#loop.push({ type: "hostList", list: seeds });
    }
    const peerServer = createPeerServer({
      push: (event) => this.#loop?.push(event),
      control: (request) => answerControl(this.#controlOptions(), request),
      secret: this.#secret,
    });
    const insecure = ServerCredentials.createInsecure();
    const peerPort = await bindServer(peerServer, listen.peers, insecure);
    const callerPort = await listenOn(this.#callers.server, listen.callers);
    const addresses = {
      callers: withPort(listen.callers, callerPort),
      peers: withPort(listen.peers, peerPort),
    };
    this.#log.info("host", "listening for callers and peers", addresses);
    return {
      ...addresses,
      stop: async () => {
        await this.#stop();
        peerServer.forceShutdown();
      },
    };
  }

  async #stop(): Promise<void> {
    this.#log.info("host", "stopping; waiting for open requests to finish");
    const stopped = new Promise<void>((resolve) => {
      this.#resolveStopped = resolve;
      setTimeout(resolve, this.#settings.limits.stop_timeout).unref();
    });
    this.#loop?.push({ type: "stopAsked" });
    await stopped;
    this.#callers.server.close();
    this.#callers.server.closeIdleConnections();
    this.#loop?.stop();
    this.#peers.close();
    this.#log.info("host", "stopped");
  }

  #newRequestId(): string {
    this.#requests += 1;
    const { id, incarnation } = this.#world.self;
    return requestId({ host: id, incarnation }, this.#requests);
  }

  #modelsOf(key: string): readonly string[] | undefined {
    const { settings } = this.#world;
    const customer = settings.customersByKey.get(sha256(key));
    if (customer === undefined) return undefined;
    return setupOf(settings, customer)?.models;
  }

  #notReady(): string | undefined {
    if (this.#world.stopping) return "stopping";
    if (this.#world.settings.version === 0) return "no settings yet";
    return undefined;
  }

  #controlOptions() {
    return {
      world: this.#world,
      platform: this.#platform,
      burn: this.#burn,
      explanations: this.#explanations,
      keyHashes: this.#settings.access.operator_key_hashes,
      now: monotonicNow,
      wallNow: () => Date.now(),
      onPublished: () => this.#loop?.push({ type: "settingsPublished" }),
      held: (upstream: string) => this.#readHeld(upstream),
    };
  }

  async #readHeld(upstream: string): Promise<readonly AttemptId[]> {
    const address = this.#world.upstreams.get(upstream)?.address;
    if (!address) {
      throw new Error(`upstream ${upstream} not found or without an address`);
    }
    const { connect_timeout } = this.#settings.limits;
    return await readHeld(address, connect_timeout);
  }

  #carryOut(orders: readonly Order[]): void {
    const messages: Extract<Order, { type: "tell" }>[] = [];
    for (const order of orders) {
      if (order.type === "tell") messages.push(order);
      else this.#carryOutOne(order);
    }
    if (messages.length > 0) this.#peers.send(messages);
  }

  #carryOutOne(order: Exclude<Order, { type: "tell" }>): void {
    switch (order.type) {
      case "replyChunk":
      case "replyEnd":
      case "replyPlain":
      case "replyError":
        return this.#callers.reply(order);
      case "readHosts":
      case "readTable":
      case "writeTable":
        void carryOutPlatform(
          this.#platform,
          order,
          (event) => this.#loop?.push(event),
        );
        return;
      case "observe":
        return this.#burn.note(order, Date.now());
      case "log": {
        this.#explanations.note(order, Date.now());
        const fields = { request: order.request, ...order.fields };
        return this.#log.info(order.part, order.sentence, fields);
      }
      case "stopped":
        return this.#resolveStopped();
      default:
        return this.#upstreams.carryOut(order);
    }
  }
}

function optionsOf(settings: RouterSettings): Partial<Options> {
  const { tuning, platform } = settings;
  const bytesPerMs = tuning.link_bytes_per_second / 1000;
  return {
    gossipMs: tuning.gossip_interval,
    hostTimeoutMs: tuning.host_timeout,
    settingsPollMs: tuning.settings_interval,
    listPollMs: tuning.hosts_interval,
    loadPollMs: tuning.load_interval,
    sweepMs: tuning.sweep_interval,
    ownerGraceMs: tuning.owner_grace,
    retryShare: tuning.retry_share,
    platformTimeoutMs: platform.timeout,
    transferMsPerToken: tuning.kv_bytes_per_token / bytesPerMs,
  };
}

/** Returns the settings file's peers, used until a host list is read. */
function seedList(settings: RouterSettings): HostList {
  const entries = settings.peers.map((peer) => ({
    ...peer,
    kind: "entry",
    service: "",
    role: "",
    leaving: false,
    checksOrders: false,
    slots: 0,
    prefillRate: 0,
    cacheTokens: 0,
  }));
  return { revision: 0, entries };
}

function secretOf(settings: RouterSettings): string {
  const file = settings.access.peer_secret_file;
  return file === undefined ? "" : readFileSync(file, "utf8").trim();
}

function listenOn(server: Server, address: string): Promise<number> {
  const listenAddress = parseListenAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(listenAddress?.port, listenAddress?.host, () => {
      const bound = server.address();
      resolve(typeof bound === "object" && bound ? bound.port : 0);
    });
  });
}

function withPort(address: string, port: number): string {
  return `${parseListenAddress(address)?.host}:${port}`;
}
