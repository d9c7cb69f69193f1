/** The records of a crash, from the sends that may have broken by it. */
import type { CrashedSend } from "./broken_sends.ts";
import { MAX_LOGGED_PARTS, shortFingerprint } from "./fingerprint.ts";
import { type CrashRecord, SuspectKind } from "./model.ts";

/** Records of all that ran at the replica, with one of its service. */
export function crashRecordsOf(
  sends: readonly CrashedSend[],
  incarnation: string,
): CrashRecord[] {
  const [first] = sends;
  if (!first) return [];
  const { service, at, ranMs, replicas } = first;
  return [
    ...sends.flatMap((send) => sendRecordsOf(send, incarnation)),
    {
      kind: SuspectKind.service,
      fingerprint: service,
      incarnation,
      at,
      ranMs,
      replicas,
    },
  ];
}

/** The request of a send and the shared parts of its prompt. */
function sendRecordsOf(
  { fingerprint, parts, at, ranMs }: CrashedSend,
  incarnation: string,
): CrashRecord[] {
  const crash = { incarnation, at, ranMs };
  const request = shortFingerprint(fingerprint);
  return [
    { ...crash, kind: SuspectKind.request, fingerprint },
    ...parts.map((part, depth) => ({
      ...crash,
      kind: SuspectKind.part,
      fingerprint: part,
      prompt: { request, depth },
    })),
  ];
}

/**
 * For the log: the parts of prompts that most of the sends had, each with the
 * number of sends; undefined if there are none.
 */
export function countParts(sends: readonly CrashedSend[]): string | undefined {
  const counts = new Map<string, number>();
  for (const part of sends.flatMap(({ parts }) => parts)) {
    counts.set(part, (counts.get(part) ?? 0) + 1);
  }
  if (counts.size === 0) return undefined;
  return [...counts].sort(([, a], [, b]) => b - a)
    .slice(0, MAX_LOGGED_PARTS)
    .map(([part, count]) => `${shortFingerprint(part)}:${count}`)
    .join();
}
