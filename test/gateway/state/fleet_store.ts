/** A store that answers some hosts and turns others away, in virtual time. */
import type { Clock } from "../../../src/gateway/clock.ts";
import type {
  ConfigReading,
  RouteConfig,
  Store,
  StoreRow,
} from "../../../src/gateway/mod.ts";

const STORE_WAY_MS = 2;

/** How the store treats a host: it answers, resets its calls, or says nothing. */
export type Treatment = "served" | "reset" | "silent";

/** A call that waits for a change, or for its time to be over. */
type Watch = { wake(): void; fail(): void; readonly host: string };

/** A configuration, rows of hosts, and a listing without replicas. */
export class FleetStore {
  /** Calls by kind. */
  readonly calls = new Map<string, number>();
  readonly #clock: Clock;
  /** The hosts' own. */
  readonly #clocks = new Map<string, Clock>();
  readonly #treatments = new Map<string, Treatment>();
  readonly #watches = new Set<Watch>();
  readonly #rows = new Map<string, StoreRow>();
  #config: RouteConfig | undefined;
  #revision = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** In force from now on. */
  publish(config: RouteConfig): void {
    this.#revision += 1;
    this.#config = config;
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
    const answer = <Value>(kind: string, value: () => Value) =>
      this.#answer(host, kind, value);
    const held = <Value>(
      kind: string,
      call: {
        readonly revision: number;
        readonly waitMs: number;
        readonly value: () => Value;
      },
    ) => this.#hold(host, kind, call);
    const nowMs = () => ({ nowMs: this.#clock.now() });
    return {
      readReplicas: () =>
        answer("replicas", () => ({
          revision: this.#revision,
          entries: [],
          ...nowMs(),
        })),
      watchReplicas: (since, waitMs) =>
        held("replicas", {
          revision: Infinity,
          waitMs,
          value: () => ({
            since,
            revision: Math.max(since, this.#revision),
            changed: [],
            gone: [],
            ...nowMs(),
          }),
        }),
      readConfig: () => answer("config", () => this.#reading(0)),
      watchConfig: (revision, waitMs) =>
        held("config watch", {
          revision,
          waitMs,
          value: () => this.#reading(revision),
        }),
      readRows: () =>
        answer("rows", () => ({ rows: [...this.#rows.values()], ...nowMs() })),
      writeRow: ({ key, value }) =>
        answer("row", () => {
          this.#rows.set(key, { key, value, revision: 1 });
          return { type: "written", revision: 1, ...nowMs() };
        }),
    };
  }

  #reach(host: string, end: () => void): void {
    const clock = this.#clocks.get(host) ?? this.#clock;
    clock.after(STORE_WAY_MS, end);
  }

  #reading(since: number): ConfigReading {
    const config = this.#revision > since ? this.#config : undefined;
    return { revision: this.#revision, ...(config ? { config } : {}) };
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

  /** Answers when something newer than `revision` is there, or after a time. */
  #hold<Value>(
    host: string,
    kind: string,
    { revision, waitMs, value }: {
      readonly revision: number;
      readonly waitMs: number;
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
          if (this.#revision > revision) settle(() => resolve(value()));
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
