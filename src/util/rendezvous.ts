/** Rendezvous hashing, by which all hosts select the same owner for a key. */
import murmurhash from "murmurhash";

/** Sorts the candidates by their score for a key, highest first. */
export function rendezvous(
  key: string,
  candidates: readonly string[],
): string[] {
  return byScore(candidates.map((id) => ({ id, score: hashOf(key, id) })));
}

/** A candidate that comes first for a share of the keys. */
export type WeightedCandidate = {
  readonly id: string;
  /** Positive; relative to the weights of the other candidates. */
  readonly weight: number;
};

/** Number of different hashes. */
const HASH_RANGE = 2 ** 32;

/**
 * Sorts the candidates by their weighted score for a key, highest first. Each
 * comes first for a share of the keys in proportion to its weight, and a change
 * of a weight moves no other keys than it must. With equal weights the order is
 * that of {@link rendezvous}.
 */
export function weightedRendezvous(
  key: string,
  candidates: readonly WeightedCandidate[],
): string[] {
  const scored = candidates.map(({ id, weight }) => {
    const share = (hashOf(key, id) + 0.5) / HASH_RANGE;
    return { id, score: -weight / Math.log(share) };
  });
  return byScore(scored);
}

/** A candidate whose id is encoded once for many keys. */
export type EncodedCandidate = {
  readonly id: string;
  readonly bytes: Uint8Array;
};

/** Encodes candidates for {@link rendezvousBySeed}. */
export function encodeCandidates(ids: readonly string[]): EncodedCandidate[] {
  const encoder = new TextEncoder();
  return ids.map((id) => ({ id, bytes: encoder.encode(id) }));
}

/**
 * Sorts the candidates by their score for a seed, highest first. Much cheaper
 * than {@link rendezvous}, most of whose time goes into encoding texts.
 */
export function rendezvousBySeed(
  seed: number,
  candidates: readonly EncodedCandidate[],
): string[] {
  return byScore(candidates.map(({ id, bytes }) => ({
    id,
    score: murmurhash.v3(bytes, seed),
  })));
}

function hashOf(key: string, id: string): number {
  return murmurhash.v3(`${key}\n${id}`);
}

type Scored = { readonly id: string; readonly score: number };

/** The ids, highest score first. */
function byScore(scored: Scored[]): string[] {
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map((candidate) => candidate.id);
}
