/** Measures the TCP bytes of messages and polls, in both directions. */
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { credentials, ServerCredentials } from "@grpc/grpc-js";
import type { PeerMessage } from "../../src/core/mod.ts";
import { Peers } from "../../src/shell/peers/client.ts";
import { callText } from "../../src/shell/upstreams/http.ts";
import { checkSettings, EngineSchema } from "../../src/settings/mod.ts";
import { startEngine } from "../../src/standins/engine/server.ts";
import { parseAddress } from "../../src/util/address.ts";
import { bindServer, createPeerServer } from "../../src/shell/peers/server.ts";

/** A loopback relay that counts the bytes it forwards. */
class CountingRelay {
  bytes = 0;
  readonly #server = createServer((from) => this.#connect(from));
  readonly #sockets: Socket[] = [];
  #target = 0;

  async start(target: number): Promise<number> {
    this.#target = target;
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const bound = this.#server.address();
    return typeof bound === "object" && bound ? bound.port : 0;
  }

  #connect(from: Socket): void {
    const to = connect(this.#target, "127.0.0.1");
    this.#sockets.push(from, to);
    this.#forward(from, to);
    this.#forward(to, from);
  }

  #forward(from: Socket, to: Socket): void {
    from.on("data", (part) => {
      this.bytes += part.length;
      to.write(part);
    });
    from.on("error", () => to.destroy());
  }

  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}

const WARM_UP_RUNS = 20;
const RUNS = 200;

/**
 * Returns the mean bytes of a message that is sent alone, including its
 * acknowledgement.
 */
export async function measureMessageBytes(
  message: PeerMessage,
): Promise<number> {
  let arrived = 0;
  const server = createPeerServer({
    push: () => arrived += 1,
    control: () =>
      Promise.reject(
        new Error("control calls are not supported by this benchmark"),
      ),
    secret: "",
  });
  const insecure = ServerCredentials.createInsecure();
  const port = await bindServer(server, "127.0.0.1:0", insecure);
  const relay = new CountingRelay();
  const address = `127.0.0.1:${await relay.start(port)}`;
  const peers = new Peers({
    self: { id: "host-0", incarnation: Date.now() },
    push: () => undefined,
    addressOf: () => address,
    timeoutMs: 2000,
    credentials: credentials.createInsecure(),
    secret: "",
  });
  const send = async (): Promise<void> => {
    const before = arrived;
    peers.send([{ to: "host-1", message }]);
    while (arrived === before) await sleep();
    await sleep();
  };
  for (let n = 0; n < WARM_UP_RUNS; n += 1) await send();
  const before = relay.bytes;
  for (let n = 0; n < RUNS; n += 1) await send();
  const bytes = relay.bytes - before;
  peers.close();
  relay.stop();
  server.forceShutdown();
  return bytes / RUNS;
}

/** Returns the mean bytes of a poll of an engine stand-in. */
export async function measurePollBytes(path: string): Promise<number> {
  const text = `id = "e"\nlisten = "127.0.0.1:0"\n`;
  const settings = checkSettings("bench", text, EngineSchema).unwrap();
  const engine = await startEngine(settings);
  const relay = new CountingRelay();
  const port = await relay.start(parseAddress(engine.address)?.port ?? 0);
  const call = {
    address: `127.0.0.1:${port}`,
    method: "GET" as const,
    path,
    connectTimeoutMs: 1000,
  };
  for (let n = 0; n < WARM_UP_RUNS; n += 1) await callText(call);
  const before = relay.bytes;
  for (let n = 0; n < RUNS; n += 1) await callText(call);
  const bytes = relay.bytes - before;
  relay.stop();
  engine.stop();
  return bytes / RUNS;
}

function sleep(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 1));
}
