/**
 * A stand-in of the platform's store: rows with versions from one counter,
 * conditional writes, listings and feeds. Rows of `servers` and `op` are
 * written by the platform itself, through the functions of this module.
 */
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";

const MAX_PAGE_ROWS = 500;

/** Starts a store on a free port of 127.0.0.1. */
export async function startStore() {
  const store = new Store();
  await store.listen();
  return store;
}

class Store {
  #rows = new Map();
  #ver = 0;
  #watchers = new Set();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });
  address = "";

  listen() {
    this.#server.keepAliveTimeout = 60_000;
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        this.address = `127.0.0.1:${this.#server.address().port}`;
        resolve();
      });
    });
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row as the operator or a replica; the value is an object. */
  put(table, key, value) {
    const Value = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#write(table, key, Value);
    return this.#ver;
  }

  /** Removes a row as the platform does. */
  remove(table, key) {
    if (this.#current(table, key) === undefined) return;
    this.#write(table, key, undefined);
  }

  /** The values of a table's rows, by key. */
  values(table) {
    const rows = [...this.#rows.values()].filter((row) =>
      row.table === table && row.Value !== undefined
    );
    return new Map(
      rows.map((row) => [
        row.PrivateKey,
        JSON.parse(Buffer.from(row.Value, "base64").toString("utf8")),
      ]),
    );
  }

  #write(table, key, Value) {
    this.#ver += 1;
    const row = { table, part: "", PrivateKey: key, ver: this.#ver };
    const name = `${table}\n${key}`;
    if (Value === undefined) this.#rows.set(name, { ...row, gone: true });
    else this.#rows.set(name, { ...row, Value });
    for (const watcher of [...this.#watchers]) watcher();
  }

  #current(table, key) {
    const row = this.#rows.get(`${table}\n${key}`);
    return row === undefined || row.gone ? undefined : row;
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    if (url.pathname === "/rows-get") return this.#get(url, response);
    if (url.pathname === "/rows-feed") return this.#feed(url, response);
    if (url.pathname === "/rows-parts") {
      return send(response, 200, { parts: [""], more: false });
    }
    if (url.pathname !== "/rows-tx") return send(response, 404, {});
    let text = "";
    for await (const chunk of request) text += chunk;
    return this.#transact(JSON.parse(text), response);
  }

  #get({ searchParams }, response) {
    const table = searchParams.get("table");
    const from = searchParams.get("Source") ?? "";
    const until = searchParams.get("TargetVersion");
    const asked = Number(searchParams.get("limit") ?? MAX_PAGE_ROWS);
    const limit = Math.min(MAX_PAGE_ROWS, asked);
    const keyOf = ({ PrivateKey }) => Buffer.from(PrivateKey);
    const found = [...this.#rows.values()].filter((row) =>
      row.table === table && row.Value !== undefined &&
      Buffer.compare(keyOf(row), Buffer.from(from)) >= 0 &&
      (until === null || Buffer.compare(keyOf(row), Buffer.from(until)) < 0)
    ).sort((a, b) => Buffer.compare(keyOf(a), keyOf(b)));
    const Rows = found.slice(0, limit).map(publicRow);
    this.#page(response, { Rows, more: found.length > limit });
  }

  #feed({ searchParams }, response) {
    const table = searchParams.get("table");
    const after = Number(searchParams.get("after"));
    const waitMs = Math.min(30_000, Number(searchParams.get("WaitMs") ?? 0));
    if (after > this.#ver) return send(response, 410, {});
    const changed = () =>
      [...this.#rows.values()].filter((row) =>
        row.table === table && row.ver > after
      ).sort((a, b) => a.ver - b.ver);
    const finish = () => {
      clearTimeout(timer);
      this.#watchers.delete(check);
      this.#page(response, { Rows: changed().map(publicRow), more: false });
    };
    const check = () => changed().length > 0 && finish();
    const timer = setTimeout(finish, waitMs);
    this.#watchers.add(check);
    response.on("close", () => {
      clearTimeout(timer);
      this.#watchers.delete(check);
    });
    check();
  }

  #transact({ IfRev = [], put = [], Remove = [] }, response) {
    const isStale = IfRev.some(({ table, PrivateKey, ver }) =>
      (this.#current(table, PrivateKey)?.ver ?? 0) !== ver
    );
    if (isStale) {
      const Rows = IfRev.flatMap(({ table, PrivateKey }) =>
        this.#current(table, PrivateKey) ?? []
      );
      return this.#page(response, { Rows: Rows.map(publicRow) }, 412);
    }
    if ([...put, ...Remove].some(({ table }) => table === "servers")) {
      return send(response, 403, {});
    }
    for (const { table, PrivateKey, Value } of put) {
      this.#write(table, PrivateKey, Value);
    }
    for (const { table, PrivateKey } of Remove) {
      this.#write(table, PrivateKey, undefined);
    }
    this.#page(response, {});
  }

  #page(response, content, status = 200) {
    const now_ms = performance.now();
    send(response, status, { ...content, ver: this.#ver, now_ms });
  }
}

function publicRow({ table, part, PrivateKey, Value, ver, gone }) {
  return { table, part, PrivateKey, Value, ver, ...(gone ? { gone } : {}) };
}

function send(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(text),
    "Store-Era": "1",
  });
  response.end(text);
}
