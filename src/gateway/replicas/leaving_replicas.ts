/**
 * Replicas that leave, as the store, their own answers or other hosts say. It
 * holds for one start of a replica, for good and for all hosts, so it goes to
 * all of them at once, also while a listing isn't told since it may lack live
 * replicas, or can't be read at all.
 */
import type { EventLog } from "../observe/event_log.ts";
import type { ReplicaTable } from "./replica_table.ts";

/** Told what is news here; `from` is whom it came from, if not this host. */
export type LeavingListener = (
  incarnations: readonly string[],
  from: unknown,
) => void;

/** What is told to and by the other hosts. */
export class LeavingReplicas {
  readonly #replicas: ReplicaTable;
  readonly #events: EventLog;
  readonly #listeners: LeavingListener[] = [];

  constructor(replicas: ReplicaTable, events: EventLog) {
    this.#replicas = replicas;
    this.#events = events;
  }

  /** Calls `listener` with all that becomes known. */
  listen(listener: LeavingListener): void {
    this.#listeners.push(listener);
  }

  /** All that is known, for a host that may know nothing. */
  all(): readonly string[] {
    return this.#replicas.leaving();
  }

  /** An answer of the replica says so. */
  heard(incarnation: string, request: string | undefined): void {
    const news = this.#replicas.noteLeaving([incarnation]);
    if (news.length === 0) return;
    const fields = { replica: incarnation, source: "answer", request };
    this.#events.note("replicaLeaving", fields);
    this.#tell(news, undefined);
  }

  /** The store's listing says so; the table has it from there. */
  listed(incarnations: readonly string[]): void {
    this.#tell(incarnations, undefined);
  }

  /** Takes what another host knows. */
  take(incarnations: readonly string[], from: unknown): void {
    const news = this.#replicas.noteLeaving(incarnations);
    for (const replica of news) {
      this.#events.note("replicaLeaving", { replica, source: "link" });
    }
    this.#tell(news, from);
  }

  #tell(incarnations: readonly string[], from: unknown): void {
    if (incarnations.length === 0) return;
    for (const listener of this.#listeners) listener(incarnations, from);
  }
}
