/** Finds replicas by id, by incarnation and by service. */
import type { ReplicaEntry } from "./model.ts";
import { Replica } from "./replica.ts";

/** The listed replicas, one for each id. */
export class ReplicaIndex {
  readonly #byId = new Map<string, Replica>();
  readonly #byIncarnation = new Map<string, Replica>();
  readonly #byService = new Map<string, Replica[]>();

  get size(): number {
    return this.#byId.size;
  }

  /** The entries of all replicas. */
  entries(): ReplicaEntry[] {
    return [...this.#byId.values()].map((replica) => replica.entry);
  }

  getById(id: string): Replica | undefined {
    return this.#byId.get(id);
  }

  get(incarnation: string): Replica | undefined {
    return this.#byIncarnation.get(incarnation);
  }

  /** All replicas by incarnation. */
  get byIncarnation(): ReadonlyMap<string, Replica> {
    return this.#byIncarnation;
  }

  /** The replicas of a service. */
  ofService(service: string): readonly Replica[] {
    return this.#byService.get(service) ?? [];
  }

  /**
   * Adds a replica, or replaces the entry under its id. A replica keeps its
   * state unless it was restarted.
   */
  put(entry: ReplicaEntry): void {
    const known = this.#byIncarnation.get(entry.incarnation);
    this.delete(entry.id);
    const replica = known ?? new Replica(entry);
    replica.entry = entry;
    this.#byId.set(entry.id, replica);
    this.#byIncarnation.set(entry.incarnation, replica);
    const group = this.#byService.get(entry.service);
    if (group) group.push(replica);
    else this.#byService.set(entry.service, [replica]);
  }

  delete(id: string): void {
    const replica = this.#byId.get(id);
    if (!replica) return;
    const { incarnation, service } = replica.entry;
    this.#byId.delete(id);
    this.#byIncarnation.delete(incarnation);
    const group = this.#byService.get(service) ?? [];
    group.splice(group.indexOf(replica), 1);
    if (group.length === 0) this.#byService.delete(service);
  }
}
