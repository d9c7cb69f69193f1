/** Connections to the store and to other hosts. */
import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { acceptBytes, closeOnBytes } from "./idle_bytes.ts";

/**
 * Node's agent, whose idle connections are closed if they get bytes. They are
 * kept as long as Node's: an ended connection may be taken for an ended host.
 */
export class JsonAgent extends Agent {
  /** Called by Node when a response has ended; false closes the connection. */
  override keepSocketAlive(socket: Socket): boolean {
    const isKept = Boolean(super.keepSocketAlive(socket));
    if (isKept) closeOnBytes(socket);
    return isKept;
  }

  /** Called by Node when an idle connection gets its next call. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    acceptBytes(socket);
    super.reuseSocket(socket, request);
  }
}
