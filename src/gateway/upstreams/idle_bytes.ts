/**
 * Closes connections that get bytes while they wait for their next call: such
 * bytes belong to no call, and may have no end.
 */
import type { Socket } from "node:net";

/** Closes an idle connection as soon as it gets bytes. */
export function closeOnBytes(socket: Socket): void {
  socket.on("data", closeUnasked);
}

/** To be called before a connection is used again. */
export function acceptBytes(socket: Socket): void {
  socket.off("data", closeUnasked);
}

function closeUnasked(this: Socket): void {
  this.destroy();
}
