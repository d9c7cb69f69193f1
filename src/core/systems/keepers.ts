/** The hosts that keep a caller's key for its owner, and what they say. */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { KeyEnd, KeyPut } from "../../messages/peer.ts";
import { rendezvous } from "../../util/rendezvous.ts";
import type { World } from "../world.ts";
import { tell } from "./peers.ts";

/** Hosts that keep each key; any two majorities share one. */
const KEEPERS = 3;
/** A keeper forgets a running key unrenewed for this long: lease and drift. */
const KEEP_MS = 12_000;

/** What a keeper says of a key. */
export const Verdict = {
  granted: "granted",
  running: "running",
  answered: "answered",
} as const;

/** The hosts that keep a key: of those listed, live or not. */
export function keepersOf(world: World, key: string): HostId[] {
  const roster: HostId[] = [];
  for (const host of world.hosts.values()) {
    if (host.region === world.self.region) roster.push(host.id);
  }
  return rendezvous(`key/${key}`, roster).slice(0, KEEPERS);
}

/** How many of them must agree. */
export function majority(keepers: readonly HostId[]): number {
  return Math.floor(keepers.length / 2) + 1;
}

/** Keeps a key for an owner, unless another has it. */
export function takeKeyPut(
  world: World,
  from: HostId,
  put: KeyPut,
  now: Milliseconds,
): void {
  const { key, request, round } = put;
  const known = world.keys.get(key);
  const others = known !== undefined && known.request !== request;
  const lapsed = known !== undefined && !known.answered &&
    now - known.renewedAt > KEEP_MS;
  if (others && !lapsed) {
    const verdict = known.answered ? Verdict.answered : Verdict.running;
    const value = { key, request, verdict, round };
    return tell(world, from, { $case: "keyVerdict", value });
  }
  const answered = put.answered || (known?.answered === true && !others);
  world.keys.set(key, { key, request, answered, renewedAt: now });
  const value = { key, request, verdict: Verdict.granted, round };
  tell(world, from, { $case: "keyVerdict", value });
}

/** Forgets a key that its owner gave back. */
export function takeKeyEnd(world: World, message: KeyEnd): void {
  const known = world.keys.get(message.key);
  if (known?.request !== message.request) return;
  world.keys.delete(message.key);
}

/** Forgets keys that nobody has renewed for long. */
export function forgetKeys(world: World, now: Milliseconds): void {
  for (const record of world.keys.values()) {
    const keepMs = record.answered ? world.options.keyKeepMs : KEEP_MS;
    if (now - record.renewedAt > keepMs) world.keys.delete(record.key);
  }
}
