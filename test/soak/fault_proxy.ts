/** A loopback TCP proxy that injects network faults. */
import { connect, createServer, type Socket } from "node:net";
import { parseAddress } from "../../src/util/address.ts";
import { resetSocket } from "../../src/util/reset_socket.ts";
import { LOOPBACK } from "../loopback.ts";
import { type EndlessText, sendEndless } from "./endless_bytes.ts";

/** The direction in which bytes are dropped. */
export const BlockedDirection = {
  none: "none",
  both: "both",
  /** The caller's bytes do not reach the target. */
  toTarget: "toTarget",
  /** The target's bytes do not reach the caller. */
  toCaller: "toCaller",
} as const;
/** One of the values of {@link BlockedDirection}. */
export type BlockedDirection =
  typeof BlockedDirection[keyof typeof BlockedDirection];

export type FaultProxy = {
  readonly address: string;
  blocked: BlockedDirection;
  /** The delay of each chunk. */
  delayMs: number;
  /** New connections are closed at once. */
  refusesConnections: boolean;
  /** Sent without end to callers that send anything; undefined: nothing. */
  endless: EndlessText | undefined;
  /** Resets the open connections for which `isChosen` returns true. */
  reset(isChosen: () => boolean): void;
  /** Ends all faults, and resets all connections if bytes were dropped. */
  clearFaults(): void;
  stop(): void;
};

type SocketPair = { readonly caller: Socket; readonly target: Socket };

/** Starts a proxy to `target`, on a free port if none is given. */
export async function startFaultProxy(
  target: string,
  listenPort = 0,
): Promise<FaultProxy> {
  const targetAddress = parseAddress(target);
  const pairs = new Set<SocketPair>();
  const sockets = new Set<Socket>();
  const server = createServer((caller) => {
    if (proxy.refusesConnections) return void resetSocket(caller);
    const upstream = connect({
      host: targetAddress?.host,
      port: targetAddress?.port ?? 0,
    });
    const pair = { caller, target: upstream };
    pairs.add(pair);
    const isBlocked = (direction: BlockedDirection) =>
      proxy.blocked === BlockedDirection.both || proxy.blocked === direction;
    let hasFlood = false;
    const isFlooded = () => hasFlood || proxy.endless !== undefined;
    forwardBytes(
      caller,
      upstream,
      proxy,
      {
        isBlocked: () => isBlocked(BlockedDirection.toTarget) || isFlooded(),
        onReset: () => resetPair(pair),
      },
    );
    forwardBytes(
      upstream,
      caller,
      proxy,
      {
        isBlocked: () => isBlocked(BlockedDirection.toCaller) || isFlooded(),
        onReset: () => resetPair(pair),
      },
    );
    caller.on("data", () => {
      if (hasFlood || !proxy.endless) return;
      hasFlood = true;
      sendEndless(caller, proxy.endless);
    });
    for (const socket of [caller, upstream]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("error", () => resetPair(pair));
      socket.on("close", () => {
        sockets.delete(socket);
        pairs.delete(pair);
      });
    }
  });
  const port = await new Promise<number>((resolve) => {
    server.listen(listenPort, LOOPBACK, () => {
      const bound = server.address();
      resolve(typeof bound === "object" && bound ? bound.port : 0);
    });
  });
  const proxy: FaultProxy = {
    address: `${LOOPBACK}:${port}`,
    blocked: BlockedDirection.none,
    delayMs: 0,
    refusesConnections: false,
    endless: undefined,
    reset: (isChosen) => {
      for (const pair of [...pairs]) if (isChosen()) resetPair(pair);
    },
    clearFaults: () => {
      const lostBytes = proxy.blocked !== BlockedDirection.none ||
        proxy.endless !== undefined;
      proxy.blocked = BlockedDirection.none;
      proxy.delayMs = 0;
      proxy.refusesConnections = false;
      proxy.endless = undefined;
      if (lostBytes) proxy.reset(() => true);
    },
    stop: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  return proxy;
}

function resetPair({ caller, target }: SocketPair): void {
  for (const socket of [caller, target]) {
    // Node resets a socket that still connects only once it is connected.
    if (socket.connecting) socket.destroy();
    else if (!socket.destroyed) resetSocket(socket);
  }
}

/** Forwards chunks in order: each chunk waits for the one before it. */
function forwardBytes(
  from: Socket,
  to: Socket,
  proxy: FaultProxy,
  { isBlocked, onReset }: {
    isBlocked(): boolean;
    onReset(): void;
  },
): void {
  let last: Promise<void> = Promise.resolve();
  const enqueue = (work: () => void) => {
    const { delayMs } = proxy;
    last = last.then(() => delay(delayMs)).then(work);
  };
  from.on("data", (bytes) => {
    enqueue(() => {
      if (!isBlocked() && to.writable) to.write(bytes);
    });
  });
  from.on("end", () => {
    // After a reset the address of the other end is unknown (getpeername(2)).
    if (from.remoteAddress === undefined) return onReset();
    enqueue(() => {
      if (!isBlocked() && to.writable) to.end();
    });
  });
}

function delay(delayMs: number): Promise<void> | undefined {
  if (delayMs <= 0) return undefined;
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
