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

/**
 * Maximum number of records, and of clearances, in a message. It keeps a message
 * below a link's limit of 1 MB.
 */
const MAX_ENTRIES_PER_MESSAGE = 2000;

const CrashMessage = z.object({
  fingerprint: z.string(),
  incarnation: z.string(),
  /** Age of the crash; a duration, since hosts' clocks are not synchronized. */
  agoMs: z.number(),
  /** As in {@link CrashRecord}; absent from hosts of earlier versions. */
  ranMs: z.number().exactOptional(),
});
type CrashMessage = z.output<typeof CrashMessage>;

const PartMessage = CrashMessage.extend({
  /** As in {@link CrashedPrompt}. */
  request: z.string(),
  depth: z.number(),
});
type PartMessage = z.output<typeof PartMessage>;

const ServiceMessage = CrashMessage.extend({
  /** As in {@link CrashRecord}. */
  replicas: z.number().exactOptional(),
});

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
  /** Parts of their prompts; apart, as earlier versions don't know them. */
  parts: z.array(PartMessage).readonly().exactOptional(),
  /** Services of crashed replicas. */
  services: z.array(ServiceMessage).readonly().exactOptional(),
  /** Suspects that got complete responses. */
  answered: z.array(AnsweredMessage).readonly(),
});
/** Crashes and clearances of a host. */
export type CrashesMessage = z.output<typeof CrashesSchema>;

/** Splits an update into parts that fit a message each; none if it is empty. */
export function splitUpdate(
  { records, clearances }: CrashUpdate,
): CrashUpdate[] {
  const length = Math.max(records.length, clearances.length);
  const count = Math.ceil(length / MAX_ENTRIES_PER_MESSAGE);
  return Array.from({ length: count }, (_, at) => {
    const from = at * MAX_ENTRIES_PER_MESSAGE;
    const to = from + MAX_ENTRIES_PER_MESSAGE;
    return {
      records: records.slice(from, to),
      clearances: clearances.slice(from, to),
    };
  });
}

/** Encodes an update, with ages instead of times. */
export function encodeCrashes(
  { records, clearances }: CrashUpdate,
  now: Milliseconds,
): CrashesMessage {
  const ofKind = (kind: SuspectKind) =>
    records.filter((record) => record.kind === kind)
      .map((record) => encodeRecord(record, now));
  const parts = records.flatMap((record) => encodePart(record, now));
  const services = ofKind(SuspectKind.service);
  return {
    type: "crashes",
    crashes: ofKind(SuspectKind.request),
    ...(parts.length > 0 ? { parts } : {}),
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
  { crashes, parts = [], services = [], answered }: CrashesMessage,
  now: Milliseconds,
  ageMs: Milliseconds = 0,
): CrashUpdate {
  const madeAt = now - ageMs;
  return {
    records: [
      ...crashes.map((crash) =>
        decodeRecord(SuspectKind.request, crash, madeAt)
      ),
      ...parts.map((part) => decodePart(part, madeAt)),
      ...services.map((crash) =>
        decodeRecord(SuspectKind.service, crash, madeAt)
      ),
    ],
    clearances: answered.map((message) => decodeClearance(message, madeAt)),
  };
}

function encodeRecord(
  { fingerprint, incarnation, at, ranMs, replicas }: CrashRecord,
  now: Milliseconds,
): z.output<typeof ServiceMessage> {
  return {
    fingerprint,
    incarnation,
    agoMs: agoOf(at, now),
    ranMs: Math.round(ranMs),
    ...(replicas !== undefined && { replicas }),
  };
}

function encodePart(record: CrashRecord, now: Milliseconds): PartMessage[] {
  const { prompt } = record;
  return prompt ? [{ ...encodeRecord(record, now), ...prompt }] : [];
}

function decodePart(
  { request, depth, ...crash }: PartMessage,
  madeAt: Milliseconds,
): CrashRecord {
  const record = decodeRecord(SuspectKind.part, crash, madeAt);
  return { ...record, prompt: { request, depth } };
}

function decodeRecord(
  kind: SuspectKind,
  { agoMs, ranMs = 0, ...crash }: CrashMessage,
  madeAt: Milliseconds,
): CrashRecord {
  return { kind, ...crash, ranMs, at: timeOf(agoMs, madeAt) };
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
