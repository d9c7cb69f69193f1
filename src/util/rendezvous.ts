/** Rendezvous hashing: every host finds the same owner without asking. */
import murmurhash from "murmurhash";

/** The candidates in order of their score for a key, best first. */
export function rendezvous(
  key: string,
  candidates: readonly string[],
): string[] {
  const scored = candidates.map((id) => ({
    id,
    score: murmurhash.v3(`${key}\n${id}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map((one) => one.id);
}
