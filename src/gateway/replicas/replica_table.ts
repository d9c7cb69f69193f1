/** The replicas that this host knows; listings never go back. */
import type { ReplicaEntry, ReplicaListing } from "./model.ts";
import { Replica } from "./replica.ts";

/** What a listing changed. */
export type ListingChange = {
  readonly added: readonly ReplicaEntry[];
  readonly removed: readonly ReplicaEntry[];
  readonly leaving: readonly ReplicaEntry[];
};

/** Replicas by incarnation and by service. */
export class ReplicaTable {
  #revision = -1;
  #byIncarnation = new Map<string, Replica>();
  #byService = new Map<string, Replica[]>();

  /** The store's revision of the newest listing; -1 before the first. */
  get revision(): number {
    return this.#revision;
  }

  /** Entries as last listed. */
  entries(): ReplicaEntry[] {
    return [...this.#byIncarnation.values()].map((one) => one.entry);
  }

  /** Takes a listing unless a newer one was taken. */
  adopt(listing: ReplicaListing): ListingChange | undefined {
    if (listing.revision < this.#revision) return undefined;
    this.#revision = listing.revision;
    const before = this.#byIncarnation;
    const added: ReplicaEntry[] = [];
    const leaving: ReplicaEntry[] = [];
    this.#byIncarnation = new Map();
    for (const entry of listing.entries) {
      const known = before.get(entry.incarnation);
      if (!known) added.push(entry);
      else if (entry.leaving && !known.entry.leaving) leaving.push(entry);
      this.#byIncarnation.set(entry.incarnation, renewed(known, entry));
    }
    const removed = [...before.values()]
      .filter((one) => !this.#byIncarnation.has(one.entry.incarnation))
      .map((one) => one.entry);
    this.#byService = groupByService(this.#byIncarnation.values());
    return { added, removed, leaving };
  }

  /** The replica of that incarnation, while it is listed. */
  get(incarnation: string): Replica | undefined {
    return this.#byIncarnation.get(incarnation);
  }

  /** Whether new work may go to the replica. */
  open(replica: Replica): boolean {
    const { incarnation } = replica.entry;
    const known = this.#byIncarnation.get(incarnation) === replica;
    return known && !replica.entry.leaving;
  }

  /** Replicas of a service that may take new work. */
  openOf(service: string): Replica[] {
    const all = this.#byService.get(service) ?? [];
    return all.filter((one) => !one.entry.leaving);
  }
}

function renewed(known: Replica | undefined, entry: ReplicaEntry): Replica {
  if (!known) return new Replica(entry);
  known.entry = entry;
  return known;
}

function groupByService(replicas: Iterable<Replica>): Map<string, Replica[]> {
  const groups = new Map<string, Replica[]>();
  for (const one of replicas) {
    const group = groups.get(one.entry.service);
    if (group) group.push(one);
    else groups.set(one.entry.service, [one]);
  }
  return groups;
}
