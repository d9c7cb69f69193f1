/** A store that answers some hosts and turns others away, in virtual time. */
import type { Clock } from "../../../src/gateway/clock.ts";
import type {
  ConfigReading,
  ReplicaEntry,
  RouteConfig,
  Store,
  StorePlace,
  StoreRow,
} from "../../../src/gateway/mod.ts";

import { untilAborted } from "./until_aborted.ts";

const STORE_WAY_MS = 2;

/** How the store treats a host: it answers, resets its calls, or says nothing. */
export type Treatment = "served" | "reset" | "silent";

/** A call that waits for a change, or for its time to be over. */
type Watch = { wake(): void; fail(): void; readonly host: string };

/** A replica's row, or that it is gone, and when that was written. */
type ReplicaRow = {
  readonly entry?: ReplicaEntry;
  readonly revision: number;
};

/** All that the store keeps; its revision rises with each write. */
export type StoreCopy = {
  readonly revision: number;
  readonly config: RouteConfig | undefined;
  readonly configRevision: number;
  readonly replicas: ReadonlyMap<string, ReplicaRow>;
  readonly rows: ReadonlyMap<string, StoreRow>;
};

/** A configuration, rows of hosts, and a listing of replicas. */
export class FleetStore {
  /** Calls by kind. */
  readonly calls = new Map<string, number>();
  readonly #clock: Clock;
  /** The hosts' own. */
  readonly #clocks = new Map<string, Clock>();
  readonly #treatments = new Map<string, Treatment>();
  readonly #watches = new Set<Watch>();
  #rows = new Map<string, StoreRow>();
  #replicas = new Map<string, ReplicaRow>();
  #config: RouteConfig | undefined;
  #configRevision = 1;
  #revision = 1;
  #era = 1;
  /** The store names its era in each answer. */
  readonly #tellsEra: boolean;

  constructor(clock: Clock, tellsEra = true) {
    this.#clock = clock;
    this.#tellsEra = tellsEra;
  }

  get #place(): StorePlace {
    const revision = this.#revision;
    return this.#tellsEra ? { revision, era: this.#era } : { revision };
  }

  /** In force from now on. */
  publish(config: RouteConfig): void {
    this.#revision += 1;
    this.#config = config;
    this.#configRevision = this.#revision;
    this.#wake();
  }

  /** A replica writes its row. */
  list(entry: ReplicaEntry): void {
    this.#revision += 1;
    this.#replicas.set(entry.id, { entry, revision: this.#revision });
    this.#wake();
  }

  /** A replica's row goes. */
  unlist(id: string): void {
    this.#revision += 1;
    this.#replicas.set(id, { revision: this.#revision });
    this.#wake();
  }

  /** Some write that concerns none of the rows here: the counter rises. */
  pass(writes: number): void {
    this.#revision += writes;
  }

  /** What the store keeps now. */
  copy(): StoreCopy {
    return {
      revision: this.#revision,
      config: this.#config,
      configRevision: this.#configRevision,
      replicas: new Map(this.#replicas),
      rows: new Map(this.#rows),
    };
  }

  /** The store comes back from an older copy: what came since is gone. */
  restore(copy: StoreCopy): void {
    this.#era += 1;
    this.#revision = copy.revision;
    this.#config = copy.config;
    this.#configRevision = copy.configRevision;
    this.#replicas = new Map(copy.replicas);
    this.#rows = new Map(copy.rows);
  }

  #wake(): void {
    for (const watch of [...this.#watches]) watch.wake();
  }

  /** How a host is treated from now on; held calls fail where it is reset. */
  treat(host: string, treatment: Treatment): void {
    this.#treatments.set(host, treatment);
    if (treatment !== "reset") return;
    for (const watch of [...this.#watches]) {
      if (watch.host === host) watch.fail();
    }
  }

  /** The store as a host calls it, whose clock says when it can hear. */
  of(host: string, clock: Clock = this.#clock): Store {
    this.#clocks.set(host, clock);
    const answer = <Value>(
      kind: string,
      signal: AbortSignal,
      value: () => Value,
    ) => untilAborted(signal, this.#answer(host, kind, value));
    const held = <Value>(
      kind: string,
      signal: AbortSignal,
      call: {
        readonly waitMs: number;
        readonly isDue: () => boolean;
        readonly value: () => Value;
      },
    ) => untilAborted(signal, this.#hold(host, kind, call));
    const timed = () => ({ nowMs: this.#clock.now(), ...this.#place });
    return {
      readReplicas: (signal) =>
        answer("replicas", signal, () => ({
          entries: this.#entriesSince(0),
          ...timed(),
        })),
      watchReplicas: (from, waitMs, signal) =>
        held("replicas", signal, {
          waitMs,
          isDue: () => this.#lacks(from) || this.#hasListedSince(from.revision),
          value: () =>
            this.#lacks(from)
              ? undefined
              : { ...this.#changesSince(from.revision), ...timed() },
        }),
      readConfig: (signal) => answer("config", signal, () => this.#reading(0)),
      watchConfig: (from, waitMs, signal) =>
        held("config watch", signal, {
          waitMs,
          isDue: () =>
            this.#lacks(from) || this.#configRevision > from.revision,
          value: () => this.#lacks(from) ? {} : this.#reading(from.revision),
        }),
      readRows: (_table, signal) =>
        answer(
          "rows",
          signal,
          () => ({ rows: [...this.#rows.values()], ...timed() }),
        ),
      writeRow: ({ key, value }, signal) =>
        answer("row", signal, () => {
          this.#revision += 1;
          this.#rows.set(key, { key, value, revision: this.#revision });
          return { type: "written", ...timed() };
        }),
    };
  }

  /** The store doesn't have such a place. */
  #lacks({ revision, era }: StorePlace): boolean {
    const isOfEra = !this.#tellsEra || era === this.#era;
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

  #reach(host: string, end: () => void): void {
    const clock = this.#clocks.get(host) ?? this.#clock;
    clock.after(STORE_WAY_MS, end);
  }

  #reading(since: number): ConfigReading {
    const config = this.#configRevision > since ? this.#config : undefined;
    return { place: this.#place, ...(config ? { config } : {}) };
  }

  #answer<Value>(
    host: string,
    kind: string,
    value: () => Value,
  ): Promise<Value> {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    return new Promise((resolve, reject) => {
      this.#clock.after(STORE_WAY_MS, () => {
        const treatment = this.#treatments.get(host) ?? "served";
        if (treatment === "silent") return;
        if (treatment === "reset") return reject(new Error("Reset"));
        const read = value();
        this.#reach(host, () => resolve(read));
      });
    });
  }

  /** Answers when there is something to tell, or after a time. */
  #hold<Value>(
    host: string,
    kind: string,
    { waitMs, isDue, value }: {
      readonly waitMs: number;
      readonly isDue: () => boolean;
      readonly value: () => Value;
    },
  ): Promise<Value> {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    return new Promise((resolve, reject) => {
      let cancel = () => {};
      const settle = (end: () => void) => {
        this.#watches.delete(watch);
        cancel();
        this.#reach(host, end);
      };
      const watch: Watch = {
        host,
        wake: () => {
          if (this.#treatments.get(host) === "silent") return;
          if (isDue()) settle(() => resolve(value()));
        },
        fail: () => settle(() => reject(new Error("Reset"))),
      };
      this.#clock.after(STORE_WAY_MS, () => {
        const treatment = this.#treatments.get(host) ?? "served";
        if (treatment === "reset") return watch.fail();
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
