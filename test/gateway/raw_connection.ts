/** A caller's connection for tests that write raw requests to it. */
import { connect, type Socket } from "node:net";
import {
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "./raw_replica.ts";
import type { Rig } from "./rig.ts";

/** Calls during which a host reads all that its callers have written. */
export const CALLS = 100;

/** A connection and what was received on it. */
export type RawConnection = {
  readonly socket: Socket;
  /** What has been received so far. */
  text(): string;
  /** Resolves with all that was received once the connection has closed. */
  readonly closed: Promise<string>;
};

/** Opens a connection to `address`. */
export function openConnection(address: string): RawConnection {
  const [host = "", port] = address.split(":");
  const socket = connect(Number(port), host);
  let text = "";
  socket.on("data", (bytes) => text += bytes.toString("latin1"));
  socket.on("error", () => undefined);
  const closed = new Promise<string>((resolve) => {
    socket.on("close", () => resolve(text));
  });
  return { socket, text: () => text, closed };
}

/** A GET request to the rig's route. */
export function rawGet(id: string, ...headers: readonly string[]): string {
  const lines = ["GET /a/b HTTP/1.1", "Host: example", `x-id: ${id}`];
  return [...lines, ...headers, "", ""].join("\r\n");
}

/** The status codes of the responses in a text. */
export function statusesIn(text: string): string[] {
  return text.match(/(?<=HTTP\/1.1 )\d+/g) ?? [];
}

/** Resolves once `check` holds. */
export async function until(check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 2));
}

/** Keeps the first request until `release`; answers others at once. */
export function keepFirst(): { answer: RawAnswer; release: () => void } {
  let first: { request: RawRequest; socket: Socket } | undefined;
  return {
    answer: (request, socket) => {
      if (request.number === 1) return void (first = { request, socket });
      socket.write(completeResponse(request, "body"));
    },
    release: () => {
      first?.socket.write(completeResponse(first.request, "first"));
    },
  };
}

/** Lets the host read what callers have written. */
export async function callOften(rig: Rig): Promise<void> {
  for (let index = 0; index < CALLS; index++) {
    await rig.call({ id: `call ${index}`, path: "/none" });
  }
}
