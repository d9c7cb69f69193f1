/**
 * A stand-in of the platform: its store, and one replica that serves every
 * role.
 */
import { createServer, type IncomingMessage } from "node:http";
import { listen, startStore, StoreMode } from "./store_standin.ts";

/** A running stand-in, with faults that a test can inject. */
export type PlatformStandin = {
  readonly storeAddress: string;
  readonly replicaAddress: string;
  /** The requests and engine calls that the replica received. */
  readonly requests: ReceivedRequest[];
  /** Writes a row, as the operator or a replica would. */
  put(table: string, key: string, value: object): void;
  /** Drops the store's change history: feeds that start before now get 410. */
  loseHistory(): void;
  /** While set, the store responds to every call with 503. */
  down: boolean;
  /** While set, the replica holds its responses back. */
  holdResponses: boolean;
  /** Clears `holdResponses` and sends the responses held so far. */
  releaseResponses(): void;
  stop(): void;
};

/** A request or engine call that the replica received. */
export type ReceivedRequest = {
  readonly path: string;
  readonly id: string;
  readonly stage: string;
  readonly export: string;
  readonly reservation: string;
};

/** Starts the stand-in on free ports. */
export async function startPlatformStandin(): Promise<PlatformStandin> {
  const store = await startStore();
  const requests: ReceivedRequest[] = [];
  const held: (() => void)[] = [];
  const replica = createServer((request, response) => {
    request.resume();
    const received = receivedRequest(request);
    requests.push(received);
    const { id } = received;
    const respond = () => {
      response.writeHead(200, { "Attempt-Id": id, "Server-Seal": "s" });
      response.end(bodyOf(received));
    };
    if (standin.holdResponses) held.push(respond);
    else respond();
  });
  const standin: PlatformStandin = {
    storeAddress: store.address,
    replicaAddress: await listen(replica),
    requests,
    put: store.put,
    loseHistory: store.loseHistory,
    get down() {
      return store.mode === StoreMode.down;
    },
    set down(isDown) {
      store.mode = isDown ? StoreMode.down : StoreMode.up;
    },
    holdResponses: false,
    releaseResponses: () => {
      standin.holdResponses = false;
      for (const respond of held.splice(0)) respond();
    },
    stop: () => {
      store.stop();
      replica.closeAllConnections();
      replica.close();
    },
  };
  return standin;
}

function receivedRequest(request: IncomingMessage): ReceivedRequest {
  const header = (name: string) => String(request.headers[name] ?? "");
  return {
    path: request.url ?? "",
    id: header("attempt-id"),
    stage: header("serving-stage"),
    export: header("kv-source"),
    reservation: header("kv-retention"),
  };
}

/** The response body: a reservation, a prefill's export, or a fixed text. */
function bodyOf({ path, stage }: ReceivedRequest): string {
  if (path === "/hold-take") return JSON.stringify({ Retention: "m1" });
  if (stage !== "prefill") return "whole";
  return JSON.stringify({ PrefillHandle: "h1", Tokens: 100, Version: 1 });
}
