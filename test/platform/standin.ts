/** A small stand-in of the platform: its store, and a replica for all uses. */
import { createServer, type IncomingMessage } from "node:http";
import { listen, startStore, StoreMode } from "./store_standin.ts";

/** The stand-in, with faults that a test can turn on. */
export type PlatformStandin = {
  readonly storeAddress: string;
  readonly replicaAddress: string;
  /** What the replica was sent. */
  readonly arrivals: Arrival[];
  /** Writes a row as the operator or a replica does. */
  put(table: string, key: string, value: object): void;
  /** The store forgets its history: feeds get 410 once. */
  loseHistory(): void;
  /** Every call to the store gets 503. */
  down: boolean;
  /** Answers of the replica wait until they are released. */
  hold: boolean;
  release(): void;
  stop(): void;
};

/** One request or engine call that the replica was sent. */
export type Arrival = {
  readonly path: string;
  readonly id: string;
  readonly stage: string;
  readonly source: string;
  readonly reservation: string;
};

/** Starts the stand-in on free ports. */
export async function startPlatformStandin(): Promise<PlatformStandin> {
  const store = await startStore();
  const arrivals: Arrival[] = [];
  const held: (() => void)[] = [];
  const replica = createServer((request, response) => {
    request.resume();
    const arrival = arrivalOf(request);
    arrivals.push(arrival);
    const { id } = arrival;
    const answer = () => {
      response.writeHead(200, { "Attempt-Id": id, "Server-Seal": "s" });
      response.end(bodyOf(arrival));
    };
    if (standin.hold) held.push(answer);
    else answer();
  });
  const standin: PlatformStandin = {
    storeAddress: store.address,
    replicaAddress: await listen(replica),
    arrivals,
    put: store.put,
    loseHistory: store.loseHistory,
    get down() {
      return store.mode === StoreMode.down;
    },
    set down(isDown) {
      store.mode = isDown ? StoreMode.down : StoreMode.up;
    },
    hold: false,
    release: () => {
      standin.hold = false;
      for (const answer of held.splice(0)) answer();
    },
    stop: () => {
      store.stop();
      replica.closeAllConnections();
      replica.close();
    },
  };
  return standin;
}

function arrivalOf(request: IncomingMessage): Arrival {
  const header = (name: string) => String(request.headers[name] ?? "");
  return {
    path: request.url ?? "",
    id: header("attempt-id"),
    stage: header("serving-stage"),
    source: header("kv-source"),
    reservation: header("kv-retention"),
  };
}

/** What the replica answers: memory, a finished prefill, or the whole body. */
function bodyOf({ path, stage }: Arrival): string {
  if (path === "/hold-take") return JSON.stringify({ Retention: "m1" });
  if (stage !== "prefill") return "whole";
  return JSON.stringify({ PrefillHandle: "h1", Tokens: 100, Version: 1 });
}
