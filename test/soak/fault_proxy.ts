/** A loopback proxy that harms the connections that run through it. */
import { connect, createServer, type Socket } from "node:net";
import { parseAddress } from "../../src/util/address.ts";

/** Which way bytes are held back. */
export const Silence = {
  none: "none",
  both: "both",
  /** The caller's bytes do not reach the target. */
  toTarget: "toTarget",
  /** The target's bytes do not reach the caller. */
  toCaller: "toCaller",
} as const;
/** One of the values of {@link Silence}. */
export type Silence = typeof Silence[keyof typeof Silence];

/** A running proxy. */
export type FaultProxy = {
  readonly address: string;
  silence: Silence;
  /** Each piece of bytes is held back for so long. */
  delayMs: number;
  /** New connections are closed at once. */
  refuses: boolean;
  /** Resets a share of the open connections, from 0 to 1. */
  reset(isChosen: () => boolean): void;
  /** As without faults; connections that lost bytes are reset. */
  heal(): void;
  stop(): void;
};

type Pair = { readonly caller: Socket; readonly target: Socket };

/** Starts a proxy before `target` on a free port. */
export async function startProxy(target: string): Promise<FaultProxy> {
  const place = parseAddress(target);
  const pairs = new Set<Pair>();
  const sockets = new Set<Socket>();
  const server = createServer((caller) => {
    if (proxy.refuses) return void caller.resetAndDestroy();
    const onward = connect({ host: place?.host, port: place?.port ?? 0 });
    const pair = { caller, target: onward };
    pairs.add(pair);
    const isHeld = (way: Silence) =>
      proxy.silence === Silence.both || proxy.silence === way;
    pump(caller, onward, proxy, () => isHeld(Silence.toTarget));
    pump(onward, caller, proxy, () => isHeld(Silence.toCaller));
    for (const socket of [caller, onward]) {
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
    server.listen(0, "127.0.0.1", () => {
      const bound = server.address();
      resolve(typeof bound === "object" && bound ? bound.port : 0);
    });
  });
  const proxy: FaultProxy = {
    address: `127.0.0.1:${port}`,
    silence: Silence.none,
    delayMs: 0,
    refuses: false,
    reset: (isChosen) => {
      for (const pair of [...pairs]) if (isChosen()) resetPair(pair);
    },
    heal: () => {
      const lostBytes = proxy.silence !== Silence.none;
      proxy.silence = Silence.none;
      proxy.delayMs = 0;
      proxy.refuses = false;
      if (lostBytes) proxy.reset(() => true);
    },
    stop: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  return proxy;
}

function resetPair({ caller, target }: Pair): void {
  if (!caller.destroyed) caller.resetAndDestroy();
  if (!target.destroyed) target.resetAndDestroy();
}

/** Bytes keep their order whatever the delay: one piece waits for another. */
function pump(
  from: Socket,
  to: Socket,
  proxy: FaultProxy,
  isHeld: () => boolean,
): void {
  let last: Promise<void> = Promise.resolve();
  const pass = (work: () => void) => {
    const { delayMs } = proxy;
    last = last.then(() => pauseFor(delayMs)).then(work);
  };
  from.on("data", (bytes) => {
    pass(() => {
      if (!isHeld() && to.writable) to.write(bytes);
    });
  });
  from.on("end", () => {
    pass(() => {
      if (!isHeld() && to.writable) to.end();
    });
  });
}

function pauseFor(delayMs: number): Promise<void> | undefined {
  if (delayMs <= 0) return undefined;
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
