/**
 * Chooses the hosts that keep a stream's record; pure. All hosts rank the hosts
 * alike for a stream, so whoever takes it up finds the record without knowing
 * who sent it.
 */
import murmurhash from "murmurhash";
import {
  encodeCandidates,
  type EncodedCandidate,
  rendezvousBySeed,
} from "../../util/rendezvous.ts";
import type { HostEntry } from "../port.ts";
import type { StreamKey } from "./model.ts";

/** Number of hosts that keep a record besides the host that made it. */
const KEEPERS = 3;
/** Number of hosts that are asked for a record, and how many of one hall. */
const ASKED = 6;
const ASKED_PER_HALL = 2;
/** Number of hosts that may write the streams of a service to the store. */
const WRITERS = 3;
/**
 * Number of rankings. Streams share one, since ranking all hosts of a large
 * fleet for each stream costs more than sending its record.
 */
const RANKINGS = 1024;

/** Hosts for a stream, best first. */
export type KeeperChoice = {
  /** The hosts to which its record is sent. */
  readonly keepers: readonly HostEntry[];
  /** The hosts that stand in for a keeper that can't be reached. */
  readonly spares: readonly HostEntry[];
  /** The hosts that are asked for its record. */
  readonly asked: readonly HostEntry[];
  /**
   * Those of them that keep its record whoever made it, unless they made it
   * themselves.
   */
  readonly commonKeepers: readonly HostEntry[];
};

/** All hosts, prepared for many rankings. */
export type RankedFleet = {
  readonly self: HostEntry;
  readonly byId: ReadonlyMap<string, HostEntry>;
  readonly candidates: readonly EncodedCandidate[];
};

/** Prepares `self` and all other hosts. */
export function createFleet(
  self: HostEntry,
  hosts: readonly HostEntry[],
): RankedFleet {
  const byId = new Map([self, ...hosts].map((host) => [host.id, host]));
  return { self, byId, candidates: encodeCandidates([...byId.keys()]) };
}

/** Chooses hosts, and caches what it chose until the hosts change. */
export class KeeperChooser {
  readonly #self: HostEntry;
  readonly #choices = new Map<number, KeeperChoice>();
  #hosts: readonly HostEntry[] = [];
  #fleet: RankedFleet;

  constructor(self: HostEntry) {
    this.#self = self;
    this.#fleet = createFleet(self, this.#hosts);
  }

  /**
   * The hosts for a stream. `hosts` are all others; the same array as long as
   * none of them changes.
   */
  of(stream: StreamKey, hosts: readonly HostEntry[]): KeeperChoice {
    this.#update(hosts);
    const ranking = rankingOf(stream);
    const choice = this.#choices.get(ranking) ??
      chooseKeepers(ranking, this.#fleet);
    this.#choices.set(ranking, choice);
    return choice;
  }

  /**
   * The hosts that write the streams of a service to the store, best first;
   * this one may be among them.
   */
  writersOf(service: string, hosts: readonly HostEntry[]): HostEntry[] {
    this.#update(hosts);
    const ranked = rankHosts(rankingOf({ service, id: "" }), this.#fleet);
    return takeSpread(ranked, { count: WRITERS, perHall: 1 });
  }

  #update(hosts: readonly HostEntry[]): void {
    if (hosts === this.#hosts) return;
    this.#hosts = hosts;
    this.#fleet = createFleet(this.#self, hosts);
    this.#choices.clear();
  }
}

/**
 * The hosts, without `self`, that keep the records of a ranking and are asked
 * for them. Keepers are of different halls if there are several.
 */
export function chooseKeepers(
  ranking: number,
  fleet: RankedFleet,
): KeeperChoice {
  const { self } = fleet;
  const ranked = rankHosts(ranking, fleet);
  const others = ranked.filter((host) => host !== self);
  const keepers = takeSpread(others, { count: KEEPERS, perHall: 1 });
  // All hosts ask the same ones, whether or not they rank among them.
  const asked = takeSpread(ranked, { count: ASKED, perHall: ASKED_PER_HALL })
    .filter((host) => host !== self);
  const spares = asked.filter((host) => !keepers.includes(host));
  const commonKeepers = takeSpread(ranked, { count: KEEPERS, perHall: 1 })
    .filter((host) => host !== self);
  return { keepers, spares, asked, commonKeepers };
}

function rankHosts(
  ranking: number,
  { byId, candidates }: RankedFleet,
): HostEntry[] {
  return rendezvousBySeed(ranking, candidates)
    .flatMap((id) => byId.get(id) ?? []);
}

/** Number of the ranking by which a stream's hosts are chosen. */
function rankingOf({ service, id }: StreamKey): number {
  return murmurhash.v3(`${service}\n${id}`) % RANKINGS;
}

/**
 * The first `count` hosts with at most `perHall` of each hall, filled up with
 * the first others where there are too few halls.
 */
function takeSpread(
  ranked: readonly HostEntry[],
  { count, perHall }: { readonly count: number; readonly perHall: number },
): HostEntry[] {
  const taken = new Set<HostEntry>();
  const takenOfHall = new Map<string, number>();
  for (const host of ranked) {
    if (taken.size === count) break;
    const ofHall = takenOfHall.get(host.hall) ?? 0;
    if (ofHall === perHall) continue;
    takenOfHall.set(host.hall, ofHall + 1);
    taken.add(host);
  }
  for (const host of ranked) {
    if (taken.size >= count) break;
    taken.add(host);
  }
  return [...taken];
}
