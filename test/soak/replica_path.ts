/** A host's network path to all replicas, which a test can cut. */
import { connect, Socket } from "node:net";
import type { Connect } from "../../src/gateway/mod.ts";

/** How a path is cut. */
export const PathCut = {
  none: "none",
  /** Open connections fall silent and new ones are never established. */
  hang: "hang",
  /** Open connections are reset and new ones are refused. */
  reset: "reset",
  /** Open connections live on, new ones are refused. */
  refuse: "refuse",
} as const;
/** One of the values of {@link PathCut}. */
export type PathCut = typeof PathCut[keyof typeof PathCut];

/** Opens connections over a path that can be cut. */
export class ReplicaPath {
  readonly #sockets = new Set<Socket>();
  readonly #silenced = new Set<Socket>();
  #cut: PathCut = PathCut.none;

  /** Opens a connection as the path allows at present. */
  readonly connect: Connect = (options) => {
    if (this.#cut === PathCut.hang) return this.#track(connectingSocket());
    if (this.#cut !== PathCut.none) return refusedSocket();
    return this.#track(connect(options));
  };

  /** Cuts the path, or heals it with "none". */
  setCut(cut: PathCut): void {
    this.#cut = cut;
    // Bytes that the cut held up are lost.
    for (const socket of this.#silenced) socket.destroy(networkError("RESET"));
    this.#silenced.clear();
    for (const socket of this.#sockets) {
      if (cut === PathCut.hang) {
        this.#silenced.add(socket);
        silenceSocket(socket);
      }
      if (cut === PathCut.reset) socket.destroy(networkError("RESET"));
    }
  }

  #track(socket: Socket): Socket {
    this.#sockets.add(socket);
    socket.on("close", () => {
      this.#sockets.delete(socket);
      this.#silenced.delete(socket);
    });
    return socket;
  }
}

/** Drops what arrives at a socket, and holds up what is written. */
export function silenceSocket(socket: Socket): void {
  socket.push = () => true;
  socket._write = () => undefined;
  socket._writev = () => undefined;
}

/** A socket whose connection is not established. */
function connectingSocket(): Socket {
  // As for a socket of `connect`; destroying the socket clears it.
  return Object.assign(new Socket(), { connecting: true });
}

function refusedSocket(): Socket {
  const socket = connectingSocket();
  setImmediate(() => socket.destroy(networkError("REFUSED")));
  return socket;
}

function networkError(kind: "RESET" | "REFUSED"): Error {
  const code = `ECONN${kind}`;
  return Object.assign(new Error(`The test cut the path: ${code}`), { code });
}
