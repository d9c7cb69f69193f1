/** Streams that begin and are taken up at the hosts of a fleet. */
import assert from "node:assert/strict";
import type { SoftwareVersion } from "../../../src/gateway/streams/model.ts";
import {
  stream,
  STREAM_TTL_MS,
  StreamFleet,
  type StreamHost,
} from "./stream_fleet.ts";

/** Longer than a batch, the failed call of a keeper and one to its spare. */
export const SENT_MS = 400;

/** The binding to a version. */
export function bound(softwareVersion: SoftwareVersion) {
  return { type: "bound", softwareVersion };
}

/** A fleet whose service has had two versions for long. */
export async function mixedFleet(size = 9, halls = 3): Promise<StreamFleet> {
  const fleet = new StreamFleet(size, halls);
  await fleet.settle("v1", "v2");
  return fleet;
}

/** Begins streams at hosts in turn, alternating between v1 and v2. */
export function begin(
  hosts: readonly StreamHost[],
  count: number,
): { readonly id: string; readonly softwareVersion: string }[] {
  return Array.from({ length: count }, (_, at) => {
    const id = `stream-${at}`;
    const softwareVersion = at % 2 === 0 ? "v1" : "v2";
    const host = hosts[at % hosts.length];
    host?.streams.note(stream(id), softwareVersion, STREAM_TTL_MS);
    return { id, softwareVersion };
  });
}

/** Takes up streams at hosts in turn; returns the share that is known. */
export async function knownShare(
  fleet: StreamFleet,
  hosts: readonly StreamHost[],
  streams: ReturnType<typeof begin>,
): Promise<number> {
  let known = 0;
  for (const [at, { id, softwareVersion }] of streams.entries()) {
    const host = hosts[(at * 7 + 3) % hosts.length];
    assert.ok(host);
    const binding = await fleet.resolve(host, stream(id));
    if (binding.type === "unknown") continue;
    assert.equal(binding.softwareVersion, softwareVersion);
    known += 1;
  }
  return known / streams.length;
}
