/** What hosts sent to replicas that had told them not to; pure. */
import type { Sent } from "./sent.ts";

/** Requests that callers send later than this go elsewhere. */
const DRAIN_MS = 2000;
/** An answer has been passed on so long after its request came. */
const PASSED_ON_MS = 500;
/** What is under way when a replica asks for a pause has come by then. */
const UNDER_WAY_MS = 500;
/** What asks for a pause is a plain decimal number of seconds. */
const DECIMAL = /^\d+(\.\d+)?$/;
/** Requests that may come during a pause. */
const MOST_IN_PAUSE = 2;

/** Hosts that sent on to a replica long after they had heard that it leaves. */
export function sentAfterLeaving(sent: readonly Sent[]): string[] {
  return groups(sent).flatMap((group) => {
    const heard = group.find((one) => one.saidLeaving);
    if (!heard) return [];
    const latestMs = heard.atMs + PASSED_ON_MS + DRAIN_MS;
    const count = group.filter((one) => one.calledAtMs > latestMs).length;
    if (count === 0) return [];
    return [`${count} from ${heard.host} to ${heard.replica}, which leaves`];
  });
}

/** Pauses in which the host that was asked for them sent too much. */
export function brokenPauses(sent: readonly Sent[]): string[] {
  return groups(sent).flatMap((group) =>
    group.flatMap(({ host, replica, atMs, backoff }) => {
      if (backoff === undefined || !DECIMAL.test(backoff)) return [];
      const seconds = Number(backoff);
      const count = group.filter((one) =>
        one.atMs > atMs + UNDER_WAY_MS && one.atMs < atMs + seconds * 1000
      ).length;
      if (count <= MOST_IN_PAUSE) {
        return [];
      }
      return [`${count} from ${host} to ${replica} in a pause of ${backoff} s`];
    })
  );
}

/** By host and start of a replica, in the order in which they came. */
function groups(sent: readonly Sent[]): Sent[][] {
  const all = new Map<string, Sent[]>();
  for (const one of [...sent].sort((a, b) => a.atMs - b.atMs)) {
    const key = `${one.host} ${one.start}`;
    const group = all.get(key);
    if (group) group.push(one);
    else all.set(key, [one]);
  }
  return [...all.values()];
}
