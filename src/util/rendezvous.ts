/** Rendezvous hashing, by which all hosts select the same owner for a key. */
import murmurhash from "murmurhash";

/** Sorts the candidates by their score for a key, highest first. */
export function rendezvous(
  key: string,
  candidates: readonly string[],
): string[] {
  const scored = candidates.map((id) => ({
    id,
    score: murmurhash.v3(`${key}\n${id}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map((candidate) => candidate.id);
}
