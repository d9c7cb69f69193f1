/**
 * Messages in which hosts report crashes, over links and in rows of the store.
 */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import {
  type Clearance,
  type CrashRecord,
  type CrashUpdate,
  SuspectKind,
} from "./model.ts";

const CrashMessage = z.object({
  fingerprint: z.string(),
  incarnation: z.string(),
  /** Age of the crash; a duration, since hosts' clocks are not synchronized. */
  agoMs: z.number(),
});
type CrashMessage = z.output<typeof CrashMessage>;

const AnsweredMessage = z.object({
  fingerprint: z.string(),
  agoMs: z.number(),
  /** Absent from hosts of earlier versions. */
  host: z.string().exactOptional(),
  responses: z.number().exactOptional(),
});
type AnsweredMessage = z.output<typeof AnsweredMessage>;

/** Schema of {@link CrashesMessage}. */
export const CrashesSchema = z.object({
  type: z.literal("crashes"),
  /** Requests that ran at crashed replicas. */
  crashes: z.array(CrashMessage).readonly(),
  /** Services of crashed replicas; apart, as earlier versions don't know them. */
  services: z.array(CrashMessage).readonly().exactOptional(),
  /** Suspects that got complete responses. */
  answered: z.array(AnsweredMessage).readonly(),
});
/** Crashes and clearances of a host. */
export type CrashesMessage = z.output<typeof CrashesSchema>;

/** Encodes an update, with ages instead of times. */
export function encodeCrashes(
  { records, clearances }: CrashUpdate,
  now: Milliseconds,
): CrashesMessage {
  const ofKind = (kind: SuspectKind) =>
    records.filter((record) => record.kind === kind)
      .map((record) => encodeRecord(record, now));
  const services = ofKind(SuspectKind.service);
  return {
    type: "crashes",
    crashes: ofKind(SuspectKind.request),
    ...(services.length > 0 ? { services } : {}),
    answered: clearances.map(({ at, ...clearance }) => ({
      ...clearance,
      agoMs: agoOf(at, now),
    })),
  };
}

/**
 * Decodes a message that was made `ageMs` ago, with times by this host's clock.
 */
export function decodeCrashes(
  { crashes, services = [], answered }: CrashesMessage,
  now: Milliseconds,
  ageMs: Milliseconds = 0,
): CrashUpdate {
  const madeAt = now - ageMs;
  return {
    records: [
      ...crashes.map((crash) =>
        decodeRecord(SuspectKind.request, crash, madeAt)
      ),
      ...services.map((crash) =>
        decodeRecord(SuspectKind.service, crash, madeAt)
      ),
    ],
    clearances: answered.map((message) => decodeClearance(message, madeAt)),
  };
}

function encodeRecord(
  { fingerprint, incarnation, at }: CrashRecord,
  now: Milliseconds,
): CrashMessage {
  return { fingerprint, incarnation, agoMs: agoOf(at, now) };
}

function decodeRecord(
  kind: SuspectKind,
  { agoMs, ...crash }: CrashMessage,
  madeAt: Milliseconds,
): CrashRecord {
  return { kind, ...crash, at: timeOf(agoMs, madeAt) };
}

function decodeClearance(
  { fingerprint, agoMs, host = "", responses = 1 }: AnsweredMessage,
  madeAt: Milliseconds,
): Clearance {
  return { fingerprint, at: timeOf(agoMs, madeAt), host, responses };
}

function agoOf(at: Milliseconds, now: Milliseconds): Milliseconds {
  return Math.max(0, Math.round(now - at));
}

function timeOf(agoMs: Milliseconds, madeAt: Milliseconds): Milliseconds {
  return madeAt - Math.max(0, agoMs);
}
