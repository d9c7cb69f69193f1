/**
 * A simulated store that serves some hosts and rejects others, in virtual time.
 */
import type { Clock } from "../../../src/gateway/clock.ts";
import type {
  ConfigReading,
  ReplicaEntry,
  RouteConfig,
  Store,
  StorePosition,
  StoreRow,
} from "../../../src/gateway/mod.ts";

import { rowsOfTable } from "./rows_of_table.ts";
import { untilAborted } from "./until_aborted.ts";

const STORE_LATENCY_MS = 2;

/**
 * How the store treats a host: serves it, resets its calls, or doesn't respond.
 */
export type Treatment = "served" | "reset" | "silent";

/** A call that waits for a change or its timeout. */
type Watch = { wake(): void; fail(): void; readonly host: string };

/**
 * A replica's row, without an entry if deleted, and the revision of the write.
 */
type ReplicaRow = {
  readonly entry?: ReplicaEntry;
  readonly revision: number;
};

/** The store's contents; the revision rises with each write. */
export type StoreBackup = {
  readonly revision: number;
  readonly config: RouteConfig | undefined;
  readonly configRevision: number;
  readonly replicas: ReadonlyMap<string, ReplicaRow>;
  readonly rows: ReadonlyMap<string, StoreRow>;
};

/** What limits the store's responses. */
export type FleetStoreLimits = {
  /** Calls of all hosts in a second; further ones are rejected. */
  readonly callsPerSecond: number;
  /** Replicas in one response. */
  readonly pageRows: number;
  /** Time for which a response with a full page occupies the store's link. */
  readonly pageMs: number;
};

const UNLIMITED: FleetStoreLimits = {
  callsPerSecond: Infinity,
  pageRows: Infinity,
  pageMs: 0,
};

/** A configuration, rows of hosts, and a listing of replicas. */
export class FleetStore {
  /** Number of calls by kind. */
  readonly calls = new Map<string, number>();
  readonly #clock: Clock;
  /** The hosts' clocks. */
  readonly #clocks = new Map<string, Clock>();
  readonly #treatments = new Map<string, Treatment>();
  readonly #watches = new Set<Watch>();
  #rows = new Map<string, StoreRow>();
  #replicas = new Map<string, ReplicaRow>();
  #config: RouteConfig | undefined;
  #configRevision = 1;
  #revision = 1;
  #era = 1;
  /** Whether each response names the era. */
  readonly #reportsEra: boolean;
  readonly #limits: FleetStoreLimits;
  /** Times of the calls of the last second. */
  #recentCalls: number[] = [];
  /** When the link has sent all responses. */
  #linkFreeAt = 0;
  /** Calls beyond the limit. */
  rejected = 0;

  constructor(clock: Clock, reportsEra = true, limits = UNLIMITED) {
    this.#clock = clock;
    this.#reportsEra = reportsEra;
    this.#limits = limits;
  }

  get #position(): StorePosition {
    const revision = this.#revision;
    return this.#reportsEra ? { revision, era: this.#era } : { revision };
  }

  /** Writes a configuration. */
  publish(config: RouteConfig): void {
    this.#revision += 1;
    this.#config = config;
    this.#configRevision = this.#revision;
    this.#wake();
  }

  /** Writes the row of a replica. */
  putReplica(entry: ReplicaEntry): void {
    this.#revision += 1;
    this.#replicas.set(entry.id, { entry, revision: this.#revision });
    this.#wake();
  }

  /** Deletes the row of a replica. */
  deleteReplica(id: string): void {
    this.#revision += 1;
    this.#replicas.set(id, { revision: this.#revision });
    this.#wake();
  }

  /** Raises the revision, as by writes to unrelated rows. */
  advanceRevision(writes: number): void {
    this.#revision += writes;
  }

  /** Returns a backup of the current contents. */
  backUp(): StoreBackup {
    return {
      revision: this.#revision,
      config: this.#config,
      configRevision: this.#configRevision,
      replicas: new Map(this.#replicas),
      rows: new Map(this.#rows),
    };
  }

  /** Restores a backup and begins a new era. */
  restore(backup: StoreBackup): void {
    this.#era += 1;
    this.#revision = backup.revision;
    this.#config = backup.config;
    this.#configRevision = backup.configRevision;
    this.#replicas = new Map(backup.replicas);
    this.#rows = new Map(backup.rows);
  }

  #wake(): void {
    for (const watch of [...this.#watches]) watch.wake();
  }

  /** Sets how a host is treated; "reset" fails its open calls. */
  setTreatment(host: string, treatment: Treatment): void {
    this.#treatments.set(host, treatment);
    if (treatment !== "reset") return;
    for (const watch of [...this.#watches]) {
      if (watch.host === host) watch.fail();
    }
  }

  /** The store as a host sees it; responses arrive by the host's clock. */
  of(host: string, clock: Clock = this.#clock): Store {
    this.#clocks.set(host, clock);
    const respond = <Value>(
      kind: string,
      signal: AbortSignal,
      value: () => Value,
    ) => untilAborted(signal, this.#respond(host, kind, value));
    const longPoll = <Value>(
      kind: string,
      signal: AbortSignal,
      call: {
        readonly waitMs: number;
        readonly isDue: () => boolean;
        readonly value: () => Value;
      },
    ) => untilAborted(signal, this.#longPoll(host, kind, call));
    const timed = () => ({ nowMs: this.#clock.now(), ...this.#position });
    return {
      readReplicas: async (signal) => {
        const { pageRows, pageMs } = this.#limits;
        const pages = Math.max(1, Math.ceil(this.#replicas.size / pageRows));
        const first = await respond("replicas", signal, timed);
        for (let page = 1; page < pages; page++) {
          await this.#transfer(pageMs);
          await respond("replicas", signal, timed);
        }
        return { entries: this.#entriesSince(0), ...first };
      },
      watchReplicas: (from, waitMs, signal) =>
        longPoll("replicas", signal, {
          waitMs,
          isDue: () =>
            this.#lacksPosition(from) || this.#hasListedSince(from.revision),
          value: () =>
            this.#lacksPosition(from)
              ? undefined
              : { ...this.#changesSince(from.revision), ...timed() },
        }),
      readConfig: (signal) => respond("config", signal, () => this.#reading(0)),
      watchConfig: (from, waitMs, signal) =>
        longPoll("config watch", signal, {
          waitMs,
          isDue: () =>
            this.#lacksPosition(from) || this.#configRevision > from.revision,
          value: () =>
            this.#lacksPosition(from) ? {} : this.#reading(from.revision),
        }),
      readRows: (table, signal) =>
        respond("rows", signal, () => ({
          rows: rowsOfTable(this.#rows, table),
          ...timed(),
        })),
      writeRow: ({ table, key, value }, signal) =>
        respond("row", signal, () => {
          const revision = this.#revision += 1;
          this.#rows.set(`${table}/${key}`, { key, value, revision });
          return { type: "written", ...timed() };
        }),
      removeRow: () => Promise.reject(new Error("Not used")),
    };
  }

  /** Whether the position is not in the store's history. */
  #lacksPosition({ revision, era }: StorePosition): boolean {
    const isOfEra = !this.#reportsEra || era === this.#era;
    return !isOfEra || revision > this.#revision;
  }

  #hasListedSince(revision: number): boolean {
    const rows = [...this.#replicas.values()];
    return rows.some((row) => row.revision > revision);
  }

  #entriesSince(revision: number): ReplicaEntry[] {
    return [...this.#replicas.values()]
      .filter((row) => row.revision > revision)
      .flatMap(({ entry }) => entry ? [entry] : []);
  }

  #changesSince(
    since: number,
  ): { changed: ReplicaEntry[]; gone: string[] } {
    const gone = [...this.#replicas]
      .filter(([, row]) => row.revision > since && !row.entry)
      .map(([id]) => id);
    return { changed: this.#entriesSince(since), gone };
  }

  /** Waits until the link has sent a response. */
  #transfer(durationMs: number): Promise<void> {
    const now = this.#clock.now();
    this.#linkFreeAt = Math.max(now, this.#linkFreeAt) + durationMs;
    return this.#wait(this.#linkFreeAt - now);
  }

  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => this.#clock.after(durationMs, resolve));
  }

  /** Counts a call; whether it is within the limit. */
  #takeCall(kind: string): boolean {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    const now = this.#clock.now();
    this.#recentCalls = this.#recentCalls.filter((at) => at > now - 1000);
    const isWithin = this.#recentCalls.length < this.#limits.callsPerSecond;
    if (isWithin) this.#recentCalls.push(now);
    else this.rejected += 1;
    return isWithin;
  }

  #deliver(host: string, end: () => void): void {
    const clock = this.#clocks.get(host) ?? this.#clock;
    clock.after(STORE_LATENCY_MS, end);
  }

  #reading(since: number): ConfigReading {
    const config = this.#configRevision > since ? this.#config : undefined;
    return { position: this.#position, ...(config ? { config } : {}) };
  }

  #respond<Value>(
    host: string,
    kind: string,
    value: () => Value,
  ): Promise<Value> {
    const isWithinLimit = this.#takeCall(kind);
    return new Promise((resolve, reject) => {
      this.#clock.after(STORE_LATENCY_MS, () => {
        if (!isWithinLimit) return reject(new Error("Too many calls"));
        const treatment = this.#treatments.get(host) ?? "served";
        if (treatment === "silent") return;
        if (treatment === "reset") return reject(new Error("Reset"));
        const read = value();
        this.#deliver(host, () => resolve(read));
      });
    });
  }

  /** Responds when there is a change, or after a timeout. */
  #longPoll<Value>(
    host: string,
    kind: string,
    { waitMs, isDue, value }: {
      readonly waitMs: number;
      readonly isDue: () => boolean;
      readonly value: () => Value;
    },
  ): Promise<Value> {
    const isWithinLimit = this.#takeCall(kind);
    return new Promise((resolve, reject) => {
      let cancel = () => {};
      const settle = (end: () => void) => {
        this.#watches.delete(watch);
        cancel();
        this.#deliver(host, end);
      };
      const watch: Watch = {
        host,
        wake: () => {
          if (this.#treatments.get(host) === "silent") return;
          if (isDue()) settle(() => resolve(value()));
        },
        fail: () => settle(() => reject(new Error("Reset"))),
      };
      this.#clock.after(STORE_LATENCY_MS, () => {
        const treatment = this.#treatments.get(host) ?? "served";
        if (treatment === "reset" || !isWithinLimit) return watch.fail();
        this.#watches.add(watch);
        cancel = this.#clock.after(waitMs, () => {
          if (this.#treatments.get(host) === "silent") return;
          settle(() => resolve(value()));
        });
        watch.wake();
      });
    });
  }
}
