/** A stand-in of the platform's store, as PROTOCOL.md describes it. */
import { createServer } from "node:http";

const ANSWER_MS = 4;
const MAX_PAGE_ROWS = 500;

/** A store without faults. */
class Store {
  #rows = new Map();
  #watchers = new Set();
  #ver = 0;
  #server = createServer((request, response) =>
    void this.#serve(request, response)
  );

  async start(ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    this.address = `${ip}:${this.#server.address().port}`;
  }

  /** Writes a row, as the operator or a replica does. */
  put(table, PrivateKey, value) {
    const Value = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#commit([{ table, PrivateKey, Value }]);
  }

  remove(table, PrivateKey) {
    this.#commit([{ table, PrivateKey, gone: true }]);
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #serve(request, response) {
    let body = "";
    for await (const part of request) body += part;
    const { pathname, searchParams } = new URL(request.url, "http://store");
    setTimeout(() => {
      switch (pathname) {
        case "/rows-get":
          return this.#get(searchParams, response);
        case "/rows-feed":
          return this.#feed(searchParams, response);
        case "/rows-tx":
          return this.#transact(JSON.parse(body), response);
        default:
          return this.#answer(response, 404, {});
      }
    }, ANSWER_MS);
  }

  #answer(response, status, body) {
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Store-Era": "1",
    });
    const now_ms = performance.now();
    response.end(JSON.stringify({ ...body, ver: this.#ver, now_ms }));
  }

  /** All rows of one transaction have the same version. */
  #commit(changed) {
    this.#ver += 1;
    for (const row of changed) {
      const whole = { part: "", ...row, ver: this.#ver };
      this.#rows.set(keyOf(whole), whole);
    }
    for (const watcher of [...this.#watchers]) watcher();
  }

  #get(query, response) {
    const from = query.get("Source") ?? "";
    const limit = Number(query.get("limit") ?? MAX_PAGE_ROWS);
    const found = [...this.#rows.values()]
      .filter((row) => row.table === query.get("table") && !row.gone)
      .filter((row) => row.part === (query.get("part") ?? ""))
      .filter((row) => row.PrivateKey >= from)
      .sort((a, b) => a.PrivateKey < b.PrivateKey ? -1 : 1);
    const Rows = found.slice(0, Math.min(MAX_PAGE_ROWS, limit));
    this.#answer(response, 200, { Rows, more: Rows.length < found.length });
  }

  #feed(query, response) {
    const after = Number(query.get("after"));
    const changed = () =>
      [...this.#rows.values()]
        .filter((row) => row.table === query.get("table") && row.ver > after)
        .sort((a, b) => a.ver - b.ver);
    const end = () => {
      clearTimeout(timer);
      this.#watchers.delete(watcher);
    };
    const respond = () => {
      end();
      this.#answer(response, 200, { Rows: changed(), more: false });
    };
    const watcher = () => changed().length > 0 && respond();
    const timer = setTimeout(respond, Number(query.get("WaitMs") ?? 0));
    this.#watchers.add(watcher);
    response.on("close", end);
    watcher();
  }

  #transact({ IfRev = [], put = [], Remove = [] }, response) {
    const storedVer = (row) => {
      const stored = this.#rows.get(keyOf({ part: "", ...row }));
      return stored && !stored.gone ? stored.ver : 0;
    };
    if (IfRev.some((row) => storedVer(row) !== row.ver)) {
      return this.#answer(response, 412, { Rows: [] });
    }
    this.#commit([
      ...put,
      ...Remove.map((row) => ({ ...row, gone: true })),
    ]);
    this.#answer(response, 200, {});
  }
}

function keyOf({ table, part, PrivateKey }) {
  return `${table}\n${part}\n${PrivateKey}`;
}

/** Starts a store on a free port. */
export async function startStore(ip = "127.0.0.1") {
  const store = new Store();
  await store.start(ip);
  return store;
}
