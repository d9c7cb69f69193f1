/** A stand-in of the platform's store, with faults that a test turns on. */
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
  readonly Value?: string;
  readonly ver: number;
  readonly gone?: boolean;
};

/** How the store treats calls. */
export const StoreMode = {
  up: "up",
  /** Every call gets 503. */
  down: "down",
  /** No call is answered. */
  silent: "silent",
  /** Writes are done and not answered. */
  lost: "lost",
} as const;
/** One of the values of {@link StoreMode}. */
export type StoreMode = typeof StoreMode[keyof typeof StoreMode];

/** A running store. */
export type StoreStandin = {
  readonly address: string;
  mode: StoreMode;
  /** Added to the time of each answer, in milliseconds. */
  delayMs: number;
  /** Writes a row as the operator or a replica does. */
  put(table: string, key: string, value: object): void;
  /** A row goes. */
  remove(table: string, key: string): void;
  /** The store forgets its history: feeds get 410 once. */
  loseHistory(): void;
  /** Writes of others, of rows that concern nobody here: the counter rises. */
  pass(writes: number): void;
  /** What the store keeps now. */
  copy(): StoreCopy;
  /** The store comes back from an older copy of itself. */
  restore(copy: StoreCopy): void;
  stop(): void;
};

/** All rows, and the counter that rises with each write. */
export type StoreCopy = {
  readonly rows: ReadonlyMap<string, KeptRow>;
  readonly ver: number;
};

type State = {
  rows: Map<string, KeptRow>;
  readonly watchers: Set<() => void>;
  ver: number;
  lostBefore: number;
  /** Rises each time the store comes back from an older copy. */
  era: number;
};

/** Starts a store on a free port. */
export async function startStore(): Promise<StoreStandin> {
  const state: State = {
    rows: new Map(),
    watchers: new Set(),
    ver: 0,
    lostBefore: 0,
    era: 1,
  };
  const server = createServer((request, response) => {
    response.setHeader("Store-Era", state.era);
    if (store.mode === StoreMode.silent) return;
    if (store.mode === StoreMode.down) return send(response, 503, {});
    const answer = () => {
      answerStore(state, store, request, response)
        .catch(() => response.destroy());
    };
    if (store.delayMs > 0) setTimeout(answer, store.delayMs);
    else answer();
  });
  const store: StoreStandin = {
    address: await listen(server),
    mode: StoreMode.up,
    delayMs: 0,
    put: (table, key, value) => {
      const text = Buffer.from(JSON.stringify(value)).toString("base64");
      write(state, { table, PrivateKey: key, Value: text });
    },
    remove: (table, key) =>
      write(state, { table, PrivateKey: key, gone: true }),
    loseHistory: () => {
      state.lostBefore = state.ver + 1;
      wake(state);
    },
    pass: (writes) => void (state.ver += writes),
    copy: () => ({ rows: new Map(state.rows), ver: state.ver }),
    restore: ({ rows, ver }) => {
      state.rows = new Map(rows);
      state.ver = ver;
      state.lostBefore = 0;
      state.era += 1;
      wake(state);
    },
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
  return store;
}

/** Listens on a free port of loopback; gives the address. */
export function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const bound = server.address();
      const port = typeof bound === "object" && bound ? bound.port : 0;
      resolve(`127.0.0.1:${port}`);
    });
  });
}

function write(state: State, row: Omit<KeptRow, "ver">): void {
  state.ver += 1;
  const key = `${row.table}/${row.PrivateKey}`;
  state.rows.set(key, { ...row, ver: state.ver });
  wake(state);
}

function wake(state: State): void {
  for (const watcher of [...state.watchers]) watcher();
}

async function answerStore(
  state: State,
  store: StoreStandin,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://store");
  const table = url.searchParams.get("table") ?? "";
  switch (url.pathname) {
    case "/rows-get":
      return send(response, 200, page(state, table, undefined));
    case "/rows-feed":
      return answerFeed(state, url, response);
    case "/rows-tx":
      return answerWrite(state, store, await textOf(request), response);
    default:
      return send(response, 404, {});
  }
}

/** Rows changed after a version; without one, those that are there. */
function page(state: State, table: string, after: number | undefined): object {
  const Rows = [...state.rows.values()].filter((row) =>
    row.table === table &&
    (after === undefined ? !row.gone : row.ver > after)
  );
  return { Rows, more: false, ver: state.ver, now_ms: performance.now() };
}

function answerFeed(state: State, url: URL, response: ServerResponse): void {
  const table = url.searchParams.get("table") ?? "";
  const after = Number(url.searchParams.get("after"));
  const waitMs = Number(url.searchParams.get("WaitMs") ?? 0);
  const look = (isOver: boolean) => {
    const isUnknown = after < state.lostBefore || after > state.ver;
    if (isUnknown) return done(410, {});
    const rows = [...state.rows.values()];
    const changed = rows.some((row) => row.table === table && row.ver > after);
    if (changed || isOver) done(200, page(state, table, after));
  };
  const watcher = () => look(false);
  const timer = setTimeout(() => look(true), waitMs);
  const forget = () => {
    clearTimeout(timer);
    state.watchers.delete(watcher);
  };
  const done = (status: number, body: object) => {
    forget();
    // The store may have come back while the call was held.
    response.setHeader("Store-Era", state.era);
    send(response, status, body);
  };
  state.watchers.add(watcher);
  response.on("close", forget);
  look(false);
}

function answerWrite(
  state: State,
  store: StoreStandin,
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
    write(state, { table, PrivateKey, ...(Value ? { Value } : {}) });
  }
  if (store.mode === StoreMode.lost) return;
  send(response, 200, { ver: state.ver, now_ms: performance.now() });
}

/** Reads a body whole. */
export async function textOf(request: IncomingMessage): Promise<string> {
  let text = "";
  for await (const part of request) text += String(part);
  return text;
}

/** Answers with JSON. */
export function send(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  response.writeHead(status, { "Content-Type": "application/json" });
  response.end(JSON.stringify(body));
}
