/** Replicas of several software versions, and a record of their streams. */
import assert from "node:assert/strict";
import { ReplicaStage, RouteKind } from "../../../src/gateway/mod.ts";
import type { StreamVersionSource } from "../../../src/gateway/requests/stream_binding.ts";
import type {
  StreamKey,
  VersionBinding,
} from "../../../src/gateway/streams/model.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
} from "../raw_replica.ts";
import type { Rig, RigReplica } from "../rig.ts";

/** A resumable route. */
export const ROUTE = {
  kind: RouteKind.streaming,
  resumable: true,
  attempts: 3,
};
/** Headers of a caller that resumes the stream of the attempt "first". */
export const RESUMED = { "last-event-id": "0", "x-resumes": "first" };

/** An event with its id. */
export const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;

/** Streams `text` and then closes the connection. */
export function interruptedAfter(text: string): RawAnswer {
  return (request, socket) => {
    socket.write(
      chunkedHeaders(request) + (text === "" ? "" : chunk(text)),
      () => setImmediate(() => socket.destroy()),
    );
  };
}

/** Goes on after the last event that the caller has. */
export const continues: RawAnswer = (request, socket) => {
  const next = Number(request.headers.get("last-event-id") ?? 0) + 1;
  socket.write(chunkedHeaders(request) + chunk(event(next)) + chunk(""));
};

/** Accepts reservations of memory; other requests get `answer`. */
export function decodes(answer: RawAnswer): RawAnswer {
  return (request, socket) => {
    if (!request.path.startsWith("/reserve")) return answer(request, socket);
    const body = JSON.stringify({ reservation: "1" });
    socket.write(completeResponse(request, body));
  };
}

/** A replica of a service without stages. */
export function replica(
  softwareVersion: string,
  answer: RawAnswer,
): RigReplica {
  return { softwareVersion, answer };
}

/** A decode replica. */
export function decodeReplica(
  softwareVersion: string,
  answer: RawAnswer,
): RigReplica {
  return {
    ...replica(softwareVersion, decodes(answer)),
    stage: ReplicaStage.decode,
  };
}

/** Numbers of the callers' requests that each replica received. */
export function received({ replicas }: Rig): number[] {
  return replicas.map(({ requests }) =>
    requests.filter(({ path }) => path.startsWith("/a/")).length
  );
}

type Note = { readonly stream: StreamKey; readonly softwareVersion?: string };

/** A source that resolves all streams to `binding` and records its calls. */
export function streamSource(binding: VersionBinding) {
  const notes: Note[] = [];
  const begun: StreamKey[] = [];
  const resolved: StreamKey[] = [];
  const source: StreamVersionSource = {
    note: (stream, softwareVersion, ttlMs) => {
      assert.ok(ttlMs > 0);
      notes.push({
        stream,
        ...(softwareVersion === undefined ? {} : { softwareVersion }),
      });
      return Promise.resolve(true);
    },
    noteBegun: (stream) => void begun.push(stream),
    resolve: (stream) => {
      resolved.push(stream);
      return Promise.resolve(binding);
    },
  };
  return { source, notes, begun, resolved };
}

/** The binding to a version. */
export const boundTo = (softwareVersion: string): VersionBinding => ({
  type: "bound",
  softwareVersion,
});
