/** Requests of callers whose service is sound. */
import { request } from "node:http";
import { sleep } from "./sleep.ts";

/** Path of the route of the sound service. */
export const SOUND_PATH = "/sound/x";

const START_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;
const SOUND_INTERVAL_MS = 40;
const SOUND_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 50;

/** Resolves once a host has answered a request to the sound service. */
export async function waitUntilServing(callers: string): Promise<void> {
  const deadline = performance.now() + START_TIMEOUT_MS;
  while (await callSound(callers, "start") !== 200) {
    if (performance.now() > deadline) throw new Error("The host didn't start");
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Sends requests to the sound service, one after the other. */
export async function callSoundly(
  callers: string,
  { record, isDone }: {
    readonly record: { sent: number; slowestMs: number; statuses: number[] };
    readonly isDone: () => boolean;
  },
): Promise<void> {
  while (!isDone()) {
    const sentAt = performance.now();
    record.sent += 1;
    const id = `sound-${record.sent}`;
    let status = await callSound(callers, id);
    // The host may close a new connection unread while it is busy.
    while (status === 0 && performance.now() - sentAt < SOUND_TIMEOUT_MS) {
      await sleep(RETRY_DELAY_MS);
      status = await callSound(callers, id);
    }
    record.statuses.push(status);
    const tookMs = performance.now() - sentAt;
    record.slowestMs = Math.max(record.slowestMs, tookMs);
    await sleep(SOUND_INTERVAL_MS);
  }
}

/** The status of a whole response; 0 if there is none. */
function callSound(callers: string, id: string): Promise<number> {
  const [host, port] = callers.split(":");
  return new Promise((resolve) => {
    const headers = { Host: "example", "Attempt-Id": id };
    const path = SOUND_PATH;
    const outgoing = request({ host, port, path, headers, agent: false });
    outgoing.setTimeout(SOUND_TIMEOUT_MS, () => outgoing.destroy());
    outgoing.on("error", () => resolve(0));
    outgoing.on("response", (response) => {
      response.on("error", () => resolve(0));
      response.on("end", () => resolve(response.statusCode ?? 0));
      response.resume();
    });
    outgoing.end();
  });
}
