/**
 * npm run bench:relay: the processor time that the relay of a stream takes, its
 * log record and the measurement of its run included, sockets and HTTP not.
 */
import { table } from "../policy/tables.ts";
import {
  relayStream,
  type StreamRelayOptions,
} from "../../test/gateway/requests/relay_rig.ts";
import { createStream, CUTTINGS, type Stream } from "./streams.ts";

const EVENTS = 300;
const WARM_UP_STREAMS = 200;
const ROUNDS = 15;
const STREAMS_PER_ROUND = 40;
const BYTES_PER_MEGABYTE = 1e6;

const RELAYS: readonly StreamRelayOptions[] = [
  { resumable: false, replicaRates: false },
  { resumable: false, replicaRates: true },
  { resumable: true, replicaRates: false },
  { resumable: true, replicaRates: true },
];

const rows: string[][] = [];
for (const cutting of CUTTINGS) {
  const stream = createStream(EVENTS, cutting);
  for (const relay of RELAYS) {
    const streamMicros = await measure(stream, relay);
    rows.push([
      cutting.name,
      relay.resumable ? "yes" : "no",
      relay.replicaRates ? "on" : "off",
      (streamMicros / stream.events).toFixed(2),
      (streamMicros / 1000 / stream.bytes * BYTES_PER_MEGABYTE).toFixed(2),
    ]);
  }
}
console.log(table(
  ["parts", "resumable", "rates", "µs an event", "ms a MB"],
  rows,
));

/** Returns the median processor time of one stream, in microseconds. */
async function measure(
  stream: Stream,
  relay: StreamRelayOptions,
): Promise<number> {
  await forwardMany(stream, relay, WARM_UP_STREAMS);
  const times: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const before = process.cpuUsage();
    await forwardMany(stream, relay, STREAMS_PER_ROUND);
    const { user, system } = process.cpuUsage(before);
    times.push((user + system) / STREAMS_PER_ROUND);
  }
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length / 2)] ?? 0;
}

async function forwardMany(
  stream: Stream,
  relay: StreamRelayOptions,
  count: number,
): Promise<void> {
  for (let n = 0; n < count; n += 1) {
    const { outcome } = await relayStream(stream.parts, relay);
    if (outcome !== "complete") throw new Error(`Relay ended: ${outcome}`);
  }
}
