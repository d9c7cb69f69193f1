/** Random numbers from a seeded generator. */
import { type RandomGenerator, unsafeUniformIntDistribution } from "pure-rand";

/** A random integer from 0 to `limit - 1`. */
export function randomInt(random: RandomGenerator, limit: number): number {
  return unsafeUniformIntDistribution(0, limit - 1, random);
}

/** Shortens an interval by up to a quarter, so that hosts don't act at once. */
export function jitter(random: RandomGenerator, interval: number): number {
  return interval - randomInt(random, Math.max(1, Math.floor(interval / 4)));
}
