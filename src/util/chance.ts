/** Draws from the world's seeded generator. */
import { type RandomGenerator, unsafeUniformIntDistribution } from "pure-rand";

/** A whole number from 0 to below `limit`. */
export function draw(random: RandomGenerator, limit: number): number {
  return unsafeUniformIntDistribution(0, limit - 1, random);
}

/** A span shortened by up to a quarter, so that hosts don't act at once. */
export function jitter(random: RandomGenerator, span: number): number {
  return span - draw(random, Math.max(1, Math.floor(span / 4)));
}
