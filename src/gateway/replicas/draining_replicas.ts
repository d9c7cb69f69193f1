/**
 * Draining replicas, as reported by the store, their own responses or other
 * hosts. Draining is final for an incarnation and applies to all hosts, so it
 * is broadcast at once, also while listings are incomplete or can't be read.
 */
import type { EventLog } from "../observe/event_log.ts";
import type { ReplicaTable } from "./replica_table.ts";

/**
 * Called with incarnations that this host didn't know to be draining; `from` is
 * the sender, undefined when this host observed it.
 */
export type DrainingListener = (
  incarnations: readonly string[],
  from: unknown,
) => void;

/** Collects the draining replicas and notifies listeners of new ones. */
export class DrainingReplicas {
  readonly #replicas: ReplicaTable;
  readonly #events: EventLog;
  readonly #listeners: DrainingListener[] = [];

  constructor(replicas: ReplicaTable, events: EventLog) {
    this.#replicas = replicas;
    this.#events = events;
  }

  /** Calls `listener` with each update. */
  listen(listener: DrainingListener): void {
    this.#listeners.push(listener);
  }

  /** All draining incarnations, for a host that has just connected. */
  all(): readonly string[] {
    return this.#replicas.draining();
  }

  /** Records that a response of the replica reported draining. */
  observe(incarnation: string, request: string | undefined): void {
    const added = this.#replicas.noteDraining([incarnation]);
    if (added.length === 0) return;
    const fields = { replica: incarnation, source: "answer", request };
    this.#events.note("replicaLeaving", fields);
    this.#notify(added, undefined);
  }

  /**
   * Announces replicas that the listing reports; the table has them already.
   */
  announceListed(incarnations: readonly string[]): void {
    this.#notify(incarnations, undefined);
  }

  /** Handles a report of another host. */
  receive(incarnations: readonly string[], from: unknown): void {
    const added = this.#replicas.noteDraining(incarnations);
    for (const replica of added) {
      this.#events.note("replicaLeaving", { replica, source: "link" });
    }
    this.#notify(added, from);
  }

  #notify(incarnations: readonly string[], from: unknown): void {
    if (incarnations.length === 0) return;
    for (const listener of this.#listeners) listener(incarnations, from);
  }
}
