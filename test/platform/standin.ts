/** A small stand-in of the platform: its store, and a replica for all uses. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";

/** A row as the store keeps it. */
type KeptRow = {
  readonly table: string;
  readonly PrivateKey: string;
  readonly Value: string;
  readonly ver: number;
};

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

type State = {
  readonly rows: Map<string, KeptRow>;
  readonly watchers: Set<() => void>;
  ver: number;
  lostBefore: number;
};

/** Starts the stand-in on free ports. */
export async function startPlatformStandin(): Promise<PlatformStandin> {
  const state: State = {
    rows: new Map(),
    watchers: new Set(),
    ver: 0,
    lostBefore: 0,
  };
  const arrivals: Arrival[] = [];
  const held: (() => void)[] = [];
  const store = createServer((request, response) => {
    if (standin.down) return void send(response, 503, {});
    void answerStore(state, request, response);
  });
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
    storeAddress: await listen(store),
    replicaAddress: await listen(replica),
    arrivals,
    put: (table, key, value) => put(state, table, key, JSON.stringify(value)),
    loseHistory: () => {
      state.lostBefore = state.ver + 1;
      wake(state);
    },
    down: false,
    hold: false,
    release: () => {
      standin.hold = false;
      for (const answer of held.splice(0)) answer();
    },
    stop: () => {
      for (const server of [store, replica]) {
        server.closeAllConnections();
        server.close();
      }
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

function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const bound = server.address();
      const port = typeof bound === "object" && bound ? bound.port : 0;
      resolve(`127.0.0.1:${port}`);
    });
  });
}

function put(state: State, table: string, key: string, value: string): void {
  state.ver += 1;
  const Value = Buffer.from(value).toString("base64");
  const row = { table, PrivateKey: key, Value, ver: state.ver };
  state.rows.set(`${table}/${key}`, row);
  wake(state);
}

function wake(state: State): void {
  for (const watcher of [...state.watchers]) watcher();
}

async function answerStore(
  state: State,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://store");
  const table = url.searchParams.get("table") ?? "";
  switch (url.pathname) {
    case "/rows-get":
      return send(response, 200, page(state, table, 0));
    case "/rows-feed":
      return answerFeed(state, url, response);
    case "/rows-tx":
      return answerWrite(state, await textOf(request), response);
    default:
      return send(response, 404, {});
  }
}

function page(state: State, table: string, after: number): object {
  const Rows = [...state.rows.values()]
    .filter((row) => row.table === table && row.ver > after);
  return { Rows, more: false, ver: state.ver, now_ms: state.ver };
}

function answerFeed(state: State, url: URL, response: ServerResponse): void {
  const table = url.searchParams.get("table") ?? "";
  const after = Number(url.searchParams.get("after"));
  const look = () => {
    if (after < state.lostBefore) return done(410, {});
    const rows = [...state.rows.values()];
    const changed = rows.some((row) => row.table === table && row.ver > after);
    if (changed) done(200, page(state, table, after));
  };
  const done = (status: number, body: object) => {
    state.watchers.delete(look);
    send(response, status, body);
  };
  state.watchers.add(look);
  response.on("close", () => state.watchers.delete(look));
  look();
}

function answerWrite(
  state: State,
  body: string,
  response: ServerResponse,
): void {
  const { put: rows, IfRev } = JSON.parse(body) as {
    put: KeptRow[];
    IfRev: KeptRow[];
  };
  const stale = IfRev.some((row) => {
    const known = state.rows.get(`${row.table}/${row.PrivateKey}`);
    return (known?.ver ?? 0) !== row.ver;
  });
  if (stale) return send(response, 412, { Rows: [] });
  for (const { table, PrivateKey, Value } of rows) {
    const text = Buffer.from(Value, "base64").toString("utf8");
    put(state, table, PrivateKey, text);
  }
  send(response, 200, { ver: state.ver, now_ms: state.ver });
}

async function textOf(request: IncomingMessage): Promise<string> {
  let text = "";
  for await (const part of request) text += String(part);
  return text;
}

function send(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { "Content-Type": "application/json" });
  response.end(JSON.stringify(body));
}
