/**
 * Messages in which hosts report crashes, over links and in rows of the store.
 */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import type { CrashUpdate } from "./model.ts";

const CrashMessage = z.object({
  fingerprint: z.string(),
  incarnation: z.string(),
  /** Age of the crash; a duration, since hosts' clocks are not synchronized. */
  agoMs: z.number(),
});

const AnsweredMessage = z.object({
  fingerprint: z.string(),
  agoMs: z.number(),
});

/** Schema of {@link CrashesMessage}. */
export const CrashesSchema = z.object({
  type: z.literal("crashes"),
  crashes: z.array(CrashMessage).readonly(),
  /** Requests that got a complete response after a crash. */
  answered: z.array(AnsweredMessage).readonly(),
});
/** Crashes and clearances of a host. */
export type CrashesMessage = z.output<typeof CrashesSchema>;

/** Encodes an update, with ages instead of times. */
export function encodeCrashes(
  { records, clearances }: CrashUpdate,
  now: Milliseconds,
): CrashesMessage {
  const agoMs = (at: Milliseconds) => Math.max(0, Math.round(now - at));
  return {
    type: "crashes",
    crashes: records.map(({ at, ...record }) => ({
      ...record,
      agoMs: agoMs(at),
    })),
    answered: clearances.map(({ at, fingerprint }) => ({
      fingerprint,
      agoMs: agoMs(at),
    })),
  };
}

/**
 * Decodes a message that was made `ageMs` ago, with times by this host's clock.
 */
export function decodeCrashes(
  { crashes, answered }: CrashesMessage,
  now: Milliseconds,
  ageMs: Milliseconds = 0,
): CrashUpdate {
  const at = (agoMs: Milliseconds) => now - ageMs - Math.max(0, agoMs);
  return {
    records: crashes.map(({ agoMs, ...crash }) => ({
      ...crash,
      at: at(agoMs),
    })),
    clearances: answered.map(({ agoMs, ...clearance }) => ({
      ...clearance,
      at: at(agoMs),
    })),
  };
}
