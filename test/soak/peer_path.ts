/** A host's network paths to other hosts, which a test can cut. */
import { Socket } from "node:net";
import { silenceSocket } from "./replica_path.ts";

type Target = { readonly port?: unknown };

/** Cuts the connections that this process opens to some ports. */
export class PeerPath {
  readonly #sockets = new Map<Socket, number>();
  readonly #silenced = new Set<Socket>();
  #cutPorts: ReadonlySet<number> = new Set();

  /** Intercepts all connections of this process. */
  install(): void {
    const connect = Socket.prototype.connect as (
      this: Socket,
      ...args: unknown[]
    ) => Socket;
    const open = (socket: Socket, args: unknown[]) => {
      const port = portOf(args);
      this.#sockets.set(socket, port);
      socket.once("close", () => {
        this.#sockets.delete(socket);
        this.#silenced.delete(socket);
      });
      if (!this.#cutPorts.has(port)) return connect.apply(socket, args);
      // As for a socket that connects; destroying it clears this.
      return Object.assign(socket, { connecting: true });
    };
    Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
      return open(this, args);
    };
  }

  /**
   * Silences the connections to these ports, of which new ones are never
   * established, and heals those to all others.
   */
  setCutPorts(ports: readonly number[]): void {
    this.#cutPorts = new Set(ports);
    // Bytes that the cut held up are lost.
    for (const socket of this.#silenced) socket.destroy();
    this.#silenced.clear();
    for (const [socket, port] of this.#sockets) {
      if (!this.#cutPorts.has(port)) continue;
      if (socket.connecting) socket.destroy();
      else silenceSocket(socket);
      this.#silenced.add(socket);
    }
  }
}

/** The port of a call of `connect`, whose arguments `net` has normalized. */
function portOf([first]: readonly unknown[]): number {
  const target = (Array.isArray(first) ? first[0] : first) as Target;
  return Number(target.port);
}
