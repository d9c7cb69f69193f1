/** How hosts tell each other of crashes: over links, and in rows of the store. */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import type { CrashNews } from "./model.ts";

const Crash = z.object({
  fingerprint: z.string(),
  incarnation: z.string(),
  /** Hosts share no clock. */
  agoMs: z.number(),
});

const Answered = z.object({ fingerprint: z.string(), agoMs: z.number() });

/** Reads what a host knows of crashes. */
export const CrashesSchema = z.object({
  type: z.literal("crashes"),
  crashes: z.array(Crash).readonly(),
  /** Requests that were answered whole after a crash under them. */
  answered: z.array(Answered).readonly(),
});
/** What a host knows of crashes. */
export type CrashesMessage = z.output<typeof CrashesSchema>;

/** News as others read it. */
export function encodeCrashes(
  { records, acquittals }: CrashNews,
  now: Milliseconds,
): CrashesMessage {
  const agoMs = (at: Milliseconds) => Math.max(0, Math.round(now - at));
  return {
    type: "crashes",
    crashes: records.map(({ at, ...one }) => ({ ...one, agoMs: agoMs(at) })),
    answered: acquittals.map(({ at, fingerprint }) => ({
      fingerprint,
      agoMs: agoMs(at),
    })),
  };
}

/** News by this host's clock, of a message that was made `ageMs` ago. */
export function decodeCrashes(
  { crashes, answered }: CrashesMessage,
  now: Milliseconds,
  ageMs: Milliseconds = 0,
): CrashNews {
  const at = (agoMs: Milliseconds) => now - ageMs - Math.max(0, agoMs);
  return {
    records: crashes.map(({ agoMs, ...one }) => ({ ...one, at: at(agoMs) })),
    acquittals: answered.map(({ agoMs, ...one }) => ({
      ...one,
      at: at(agoMs),
    })),
  };
}
