/** Finds replicas by id, by incarnation and by service. */
import { digestOf, toggleDigest } from "./listing_digest.ts";
import type { ReplicaEntry } from "./model.ts";
import { Replica } from "./replica.ts";

/** The listed replicas, one for each id. */
export class ReplicaIndex {
  readonly #byId = new Map<string, Replica>();
  readonly #byIncarnation = new Map<string, Replica>();
  readonly #byService = new Map<string, Replica[]>();
  /** Digests of the entries, by id. */
  readonly #digests = new Map<string, number>();
  #digest = 0;

  get size(): number {
    return this.#byId.size;
  }

  /** Digest of all entries; doesn't depend on their order. */
  get digest(): number {
    return this.#digest;
  }

  /** Digest of the entry under an id, if there is one. */
  digestById(id: string): number | undefined {
    return this.#digests.get(id);
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
    const digest = digestOf(entry);
    this.#digests.set(entry.id, digest);
    this.#digest = toggleDigest(this.#digest, digest);
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
    this.#digest = toggleDigest(this.#digest, this.#digests.get(id) ?? 0);
    this.#digests.delete(id);
    this.#byId.delete(id);
    this.#byIncarnation.delete(incarnation);
    const group = this.#byService.get(service) ?? [];
    group.splice(group.indexOf(replica), 1);
    if (group.length === 0) this.#byService.delete(service);
  }
}
