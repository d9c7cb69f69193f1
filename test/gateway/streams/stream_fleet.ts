/**
 * A fleet of hosts that keep records of streams, in virtual time. Calls between
 * hosts take a network latency and fail between partitioned hosts.
 */
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import type { ReplicaEntry } from "../../../src/gateway/replicas/model.ts";
import type {
  StreamKey,
  VersionBinding,
} from "../../../src/gateway/streams/model.ts";
import { StreamVersions } from "../../../src/gateway/streams/stream_versions.ts";
import { contentOf } from "../../../src/gateway/streams/version_report.ts";
import {
  exchangeRows,
  type HostRowCall,
  readHosts,
} from "../../../src/gateway/peers/host_rows.ts";
import type { JsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { replicaEntry } from "../replica_entry.ts";
import { untilAborted } from "../state/until_aborted.ts";
import { RowStore } from "./row_store.ts";

const LATENCY_MS = 1;
const MAINTAIN_INTERVAL_MS = 1000;
/** Interval at which an unchanged row is written again. */
const REPORT_INTERVAL_MS = 20_000;
export const SERVICE = "service";
/** Time for which clients of the tests may resume a stream. */
export const STREAM_TTL_MS = 120_000;
/** Longer than any window in which versions count. */
export const COVERED_MS = 130_000;

/** One host of the fleet. */
export type StreamHost = {
  readonly entry: HostEntry;
  streams: StreamVersions;
  metrics: Metrics;
  readonly events: string[];
  /** The other hosts, as this host knows them. */
  known: readonly HostEntry[];
  /** The replicas, as this host knows them. */
  entries: readonly ReplicaEntry[];
  listingAgeMs: number;
  isAlive: boolean;
  /** Its machine is gone, too: nothing refuses connections to it. */
  isSilent: boolean;
  /** Its build has no records: it responds to any call with its state. */
  isOldBuild: boolean;
  runs: number;
  /** The content of the row that it has written in this run. */
  reported: { readonly content: string; readonly at: number } | undefined;
};

/** Replicas of the service, one of each version. */
export function listing(
  ...versions: readonly (string | undefined)[]
): ReplicaEntry[] {
  return versions.map((version, index) =>
    replicaEntry(`r${index}`, {
      service: SERVICE,
      ...(version === undefined ? {} : { softwareVersion: version }),
    })
  );
}

/** A stream of the service. */
export function stream(id: string): StreamKey {
  return { service: SERVICE, id };
}

/** Hosts in halls, all of which know each other. */
export class StreamFleet {
  readonly hosts: StreamHost[] = [];
  /** Messages that hosts have sent. */
  readonly messages: { readonly from: string; readonly body: string }[] = [];
  isCut: (from: StreamHost, to: StreamHost) => boolean = () => false;
  /** How long a message takes from host to host. */
  latencyMs = LATENCY_MS;
  readonly #time = new VirtualTime();
  /** The replicas in the store. */
  #listed: readonly ReplicaEntry[] = [];
  /** The store that outlasts the hosts. */
  readonly store = new RowStore(this.#time.clock);

  constructor(size: number, halls = 3) {
    const entries = Array.from({ length: size }, (_, at) => ({
      id: `h${at}`,
      address: `h${at}`,
      hall: `hall-${at % halls}`,
    }));
    for (const entry of entries) {
      this.#add(entry, entries.filter((other) => other !== entry));
    }
  }

  get now(): number {
    return this.#time.now;
  }

  /** Advances the virtual time. */
  run(forMs: number): Promise<void> {
    return this.#time.runTo(this.now + forMs);
  }

  /** The host at an index. */
  host(at: number): StreamHost {
    const host = this.hosts[at];
    if (!host) throw new Error(`No host ${at}`);
    return host;
  }

  /** From now on the store and all hosts list these versions. */
  list(...versions: readonly (string | undefined)[]): void {
    this.#listed = listing(...versions);
    for (const host of this.hosts) host.entries = this.#listed;
  }

  /** From now on the store and these hosts list these versions. */
  listAt(
    hosts: readonly StreamHost[],
    versions: readonly (string | undefined)[],
  ): void {
    this.#listed = listing(...versions);
    for (const host of hosts) host.entries = this.#listed;
  }

  /** Runs until a service with these versions is known for long everywhere. */
  async settle(...versions: readonly (string | undefined)[]): Promise<void> {
    this.list(...versions);
    await this.run(COVERED_MS);
    this.messages.length = 0;
  }

  /** Restarts a host, which loses its state. */
  restart(host: StreamHost): void {
    host.runs += 1;
    host.reported = undefined;
    host.metrics = new Metrics();
    host.streams = this.#createStreams(host);
    host.isAlive = true;
    void this.#readReports(host);
  }

  /** Ends all hosts at once; they start again after `downMs`. */
  async restartAll(downMs: number): Promise<void> {
    for (const host of this.hosts) host.isAlive = false;
    await this.run(downMs);
    for (const host of this.hosts) this.restart(host);
  }

  /** Adds a host that all others know. */
  add(hall: string): StreamHost {
    const id = `h${this.hosts.length}`;
    const entry = { id, address: id, hall };
    const others = this.hosts.map((host) => host.entry);
    for (const host of this.hosts) host.known = [...host.known, entry];
    return this.#add(entry, others);
  }

  /** Takes up a stream at a host, and runs until it is resolved. */
  async resolve(
    host: StreamHost,
    key: StreamKey,
    withinMs = 300,
  ): Promise<VersionBinding> {
    let binding: VersionBinding | undefined;
    void host.streams.resolve(key).then((result) => binding = result);
    await this.run(0);
    await new Promise((resolve) => setImmediate(resolve));
    for (let waitedMs = 0; !binding && waitedMs < withinMs; waitedMs += 5) {
      await this.run(5);
    }
    if (!binding) throw new Error(`Not resolved within ${withinMs} ms`);
    return binding;
  }

  #add(entry: HostEntry, known: readonly HostEntry[]): StreamHost {
    const host = {
      entry,
      known,
      metrics: new Metrics(),
      events: [],
      entries: [],
      listingAgeMs: 0,
      isAlive: true,
      isSilent: false,
      isOldBuild: false,
      runs: 0,
    } as unknown as StreamHost;
    host.streams = this.#createStreams(host);
    this.hosts.push(host);
    void this.#readReports(host);
    const maintain = () => {
      if (host.isAlive) {
        host.streams.maintain();
        void this.#writeReport(host);
      }
      this.#time.clock.after(MAINTAIN_INTERVAL_MS, maintain);
    };
    maintain();
    return host;
  }

  #rowCall(): HostRowCall {
    return {
      store: this.store.client as HostRowCall["store"],
      now: () => this.now,
      signal: AbortSignal.any([]),
    };
  }

  /** Reads what hosts have reported, as a host does when it starts. */
  async #readReports(host: StreamHost): Promise<void> {
    const { versions } = await readHosts(this.#rowCall());
    host.streams.learn(versions);
  }

  /** Writes the row of a host when its content has changed, or is old. */
  async #writeReport(host: StreamHost): Promise<void> {
    const { streams, entry } = host;
    const content = contentOf(streams.report());
    const { reported } = host;
    const isDue = reported?.content !== content ||
      this.now - reported.at >= REPORT_INTERVAL_MS;
    if (!isDue) return;
    host.reported = { content, at: this.now };
    await exchangeRows(this.#rowCall(), (reading) => {
      streams.learn(reading.versions);
      return {
        writer: entry.id,
        hosts: [entry],
        crashes: { origin: entry.id, records: [] } as never,
        versions: streams.report(),
      };
    });
  }

  #createStreams(host: StreamHost): StreamVersions {
    return new StreamVersions({
      self: { ...host.entry, run: String(host.runs) },
      clock: this.#time.clock,
      events: { note: (name) => void host.events.push(name) },
      metrics: host.metrics,
      replicas: { entries: () => [...host.entries] },
      hosts: () => host.known,
      resumableForMs: () => STREAM_TTL_MS,
      listingAgeMs: () => host.listingAgeMs,
      confirmListing: () => this.#confirmListing(host),
      createClient: (address) => this.#clientOf(host, address),
      store: this.store.client,
    });
  }

  #confirmListing(host: StreamHost): Promise<boolean> {
    if (this.store.mode === "silent") return Promise.resolve(false);
    host.entries = this.#listed;
    return Promise.resolve(true);
  }

  #clientOf(from: StreamHost, address: string): JsonClient {
    return {
      close: () => undefined,
      call: ({ body = "" }, signal) =>
        untilAborted(
          signal,
          new Promise((resolve, reject) => {
            if (!from.isAlive) return;
            this.messages.push({ from: from.entry.id, body });
            const to = this.hosts.find((host) => host.entry.id === address);
            if (!to || this.isCut(from, to)) return;
            // The system of a process that has ended refuses connections.
            const refuse = () => reject(new Error("connect ECONNREFUSED"));
            const isLost = () => !to.isAlive || this.isCut(from, to);
            this.#time.clock.after(this.latencyMs, () => {
              if (!to.isAlive && !to.isSilent) return refuse();
              if (isLost()) return;
              const response = to.isOldBuild
                ? { status: 200, body: '{"hosts":[],"version":1}' }
                : to.streams.server.respond(body);
              this.#time.clock.after(this.latencyMs, () => {
                resolve({ body: "", ...response });
              });
            });
          }),
        ),
    };
  }
}
