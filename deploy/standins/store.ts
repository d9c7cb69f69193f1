/** A stand-in of the platform's store, with faults that can be injected. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";

/** A row as the store retains it; `gone` marks a deleted one. */
type StoredRow = {
  readonly table: string;
  readonly PrivateKey: string;
  readonly Value?: string;
  readonly ver: number;
  readonly gone?: boolean;
};

/** How the store responds to calls. */
export const StoreMode = {
  up: "up",
  /** Every call is answered with 503. */
  down: "down",
  /** No call gets a response. */
  unresponsive: "silent",
  /** Writes are applied but get no response. */
  responseLost: "lost",
} as const;
/** One of the values of {@link StoreMode}. */
export type StoreMode = typeof StoreMode[keyof typeof StoreMode];

/** A running store. */
export type StoreStandin = {
  readonly address: string;
  mode: StoreMode;
  /** Delay before each call is handled. */
  delayMs: number;
  /** Writes a row, as the operator or a replica would. */
  put(table: string, key: string, value: object): void;
  /** Writes a row with any value, JSON or not. */
  putBytes(table: string, key: string, value: Uint8Array): void;
  /** Deletes a row. */
  remove(table: string, key: string): void;
  /** Drops the change history: feeds that start before now get 410. */
  loseHistory(): void;
  /** Raises the revision by a number of writes to rows that no test reads. */
  advanceRevision(writes: number): void;
  /** Copies the current state. */
  copy(): StoreCopy;
  /** Restores an older copy; the era increases. */
  restore(copy: StoreCopy): void;
  stop(): void;
};

/** All rows, and the revision, which increases with each write. */
export type StoreCopy = {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly ver: number;
};

type State = {
  rows: Map<string, StoredRow>;
  readonly watchers: Set<() => void>;
  ver: number;
  /** Feeds that start before this revision get 410. */
  historyStart: number;
  /** Increases each time the store is restored from an older copy. */
  era: number;
};

/** Starts a store on a free port of the given IP number. */
export async function startStore(ip: string): Promise<StoreStandin> {
  const state: State = {
    rows: new Map(),
    watchers: new Set(),
    ver: 0,
    historyStart: 0,
    era: 1,
  };
  const server = createServer((request, response) => {
    response.setHeader("Store-Era", state.era);
    if (store.mode === StoreMode.unresponsive) return;
    if (store.mode === StoreMode.down) return send(response, 503, {});
    const respond = () => {
      handleCall(state, store, request, response)
        .catch(() => response.destroy());
    };
    if (store.delayMs > 0) setTimeout(respond, store.delayMs);
    else respond();
  });
  const store: StoreStandin = {
    address: await listen(server, ip),
    mode: StoreMode.up,
    delayMs: 0,
    put: (table, key, value) =>
      store.putBytes(table, key, Buffer.from(JSON.stringify(value))),
    putBytes: (table, key, value) => {
      const Value = Buffer.from(value).toString("base64");
      write(state, { table, PrivateKey: key, Value });
    },
    remove: (table, key) =>
      write(state, { table, PrivateKey: key, gone: true }),
    loseHistory: () => {
      state.historyStart = state.ver + 1;
      notifyWatchers(state);
    },
    advanceRevision: (writes) => void (state.ver += writes),
    copy: () => ({ rows: new Map(state.rows), ver: state.ver }),
    restore: ({ rows, ver }) => {
      state.rows = new Map(rows);
      state.ver = ver;
      state.historyStart = 0;
      state.era += 1;
      notifyWatchers(state);
    },
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
  return store;
}

/** Listens on a free port of an IP number; returns the address. */
export function listen(server: Server, ip: string): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, ip, () => {
      const bound = server.address();
      const port = typeof bound === "object" && bound ? bound.port : 0;
      resolve(`${ip}:${port}`);
    });
  });
}

function write(state: State, row: Omit<StoredRow, "ver">): void {
  state.ver += 1;
  const key = `${row.table}/${row.PrivateKey}`;
  state.rows.set(key, { ...row, ver: state.ver });
  notifyWatchers(state);
}

function notifyWatchers(state: State): void {
  for (const watcher of [...state.watchers]) watcher();
}

async function handleCall(
  state: State,
  store: StoreStandin,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://store");
  const table = url.searchParams.get("table") ?? "";
  switch (url.pathname) {
    case "/rows-get":
      return send(response, 200, pageOf(state, table, undefined));
    case "/rows-feed":
      return handleFeed(state, url, response);
    case "/rows-tx":
      return handleWrite(state, store, await textOf(request), response);
    default:
      return send(response, 404, {});
  }
}

/**
 * The rows changed after a revision; without one, all rows that aren't deleted.
 */
function pageOf(
  state: State,
  table: string,
  after: number | undefined,
): object {
  const Rows = [...state.rows.values()].filter((row) =>
    row.table === table &&
    (after === undefined ? !row.gone : row.ver > after)
  );
  return { Rows, more: false, ver: state.ver, now_ms: performance.now() };
}

function handleFeed(state: State, url: URL, response: ServerResponse): void {
  const table = url.searchParams.get("table") ?? "";
  const after = Number(url.searchParams.get("after"));
  const waitMs = Number(url.searchParams.get("WaitMs") ?? 0);
  const respondIfDue = (isTimedOut: boolean) => {
    const isUnavailable = after < state.historyStart || after > state.ver;
    if (isUnavailable) return respond(410, {});
    const rows = [...state.rows.values()];
    const changed = rows.some((row) => row.table === table && row.ver > after);
    if (changed || isTimedOut) respond(200, pageOf(state, table, after));
  };
  const watcher = () => respondIfDue(false);
  const timer = setTimeout(() => respondIfDue(true), waitMs);
  const cleanUp = () => {
    clearTimeout(timer);
    state.watchers.delete(watcher);
  };
  const respond = (status: number, body: object) => {
    cleanUp();
    // The store may have been restored while the call was waiting.
    response.setHeader("Store-Era", state.era);
    send(response, status, body);
  };
  state.watchers.add(watcher);
  response.on("close", cleanUp);
  respondIfDue(false);
}

function handleWrite(
  state: State,
  store: StoreStandin,
  body: string,
  response: ServerResponse,
): void {
  const { put: rows, IfRev, Remove } = JSON.parse(body) as {
    put: StoredRow[];
    IfRev: StoredRow[];
    Remove: StoredRow[];
  };
  const stale = IfRev.some((row) => {
    const stored = state.rows.get(`${row.table}/${row.PrivateKey}`);
    return (stored?.gone ? 0 : stored?.ver ?? 0) !== row.ver;
  });
  if (stale) return send(response, 412, { Rows: [] });
  for (const { table, PrivateKey, Value } of rows) {
    write(state, { table, PrivateKey, ...(Value ? { Value } : {}) });
  }
  for (const { table, PrivateKey } of Remove) {
    write(state, { table, PrivateKey, gone: true });
  }
  if (store.mode === StoreMode.responseLost) return;
  send(response, 200, { ver: state.ver, now_ms: performance.now() });
}

/** Reads a body to its end. */
export async function textOf(request: IncomingMessage): Promise<string> {
  let text = "";
  for await (const part of request) text += String(part);
  return text;
}

/** Sends a JSON response. */
export function send(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  response.writeHead(status, { "Content-Type": "application/json" });
  response.end(JSON.stringify(body));
}
