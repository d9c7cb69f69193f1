/** What peers send is bounded, and malformed messages change nothing. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { MAX_BATCH_RECORDS } from "../../../src/gateway/streams/keeper_messages.ts";
import { KeeperServer } from "../../../src/gateway/streams/keeper_server.ts";
import { VersionHistory } from "../../../src/gateway/streams/version_history.ts";
import { VersionTable } from "../../../src/gateway/streams/version_table.ts";
import { listing, SERVICE } from "./stream_fleet.ts";

const UNNAMED = { service: SERVICE, id: "a", order: 1, ttlMs: 1000 };
const RECORD = { ...UNNAMED, softwareVersion: "v1" };

function createServer() {
  const table = new VersionTable();
  const history = new VersionHistory();
  const archived: string[] = [];
  let isListingFresh = true;
  const server = new KeeperServer({
    table,
    history,
    archive: (records) =>
      void archived.push(...records.map(({ stream }) => stream.id)),
    isListingFresh: () => isListingFresh,
    now: () => 0,
  });
  const setListingFresh = (isFresh: boolean) => isListingFresh = isFresh;
  const post = (message: unknown) => server.respond(JSON.stringify(message));
  const ask = (id: string, service = SERVICE) =>
    JSON.parse(post({ type: "ask", service, id }).body ?? "{}") as object;
  return { table, history, server, archived, setListingFresh, post, ask };
}

function keep(...records: readonly object[]) {
  return { type: "keep", origin: "h@1", records };
}

test("a record that was kept is found, with and without a version", () => {
  const { post, ask } = createServer();
  assert.equal(post(keep(RECORD, { ...UNNAMED, id: "b" })).status, 204);
  const known = { type: "known", origin: "h@1", order: 1 };
  assert.deepEqual(ask("a"), { ...known, softwareVersion: "v1" });
  assert.deepEqual(ask("b"), known);
});

test("without a record the versions of the service are told", () => {
  const { history, ask } = createServer();
  history.observe(listing(undefined), 0);
  const unknown = { type: "unknown", isCovered: false, hasRunBefore: false };
  assert.deepEqual(ask("a"), { ...unknown, versions: [null] });
  history.observe(listing(undefined, "v1"), -30);
  const versions = [null, "v1"];
  assert.deepEqual(ask("a"), { ...unknown, versions, mixedForMs: 30 });
  assert.deepEqual(ask("a", "other"), { ...unknown, versions: [] });
  assert.deepEqual([...history.services], [SERVICE]);
});

// Guards against a host that has just started and is taken for one that knows
// which versions served before.
test("a host says that its versions are all only if it knows the past and the present", () => {
  const { history, ask, setListingFresh } = createServer();
  const isCovered = () => (ask("a") as { isCovered: boolean }).isCovered;
  history.observe(listing("v1"), 0);
  assert.equal(isCovered(), false);
  history.learn({ isCovered: false, versions: [] }, 0);
  assert.equal(isCovered(), false);
  history.learn({ isCovered: true, versions: [] }, 0);
  assert.equal(isCovered(), true);
  setListingFresh(false);
  assert.equal(isCovered(), false);
});

test("records are passed on to the store only where their sender asks for it", () => {
  const { archived, post } = createServer();
  post(keep(RECORD));
  assert.deepEqual(archived, []);
  post({ ...keep(RECORD), isArchived: true });
  assert.deepEqual(archived, ["a"]);
});

test("malformed messages are rejected and nothing is stored", () => {
  const { table, post, server } = createServer();
  const long = "x".repeat(201);
  const malformed: unknown[] = [
    {},
    null,
    [],
    { type: "other" },
    { type: "ask", service: SERVICE },
    { type: "ask", service: SERVICE, id: long },
    { type: "keep", records: [RECORD] },
    keep(RECORD, { ...RECORD, id: long }),
    keep(RECORD, { ...RECORD, id: "" }),
    keep(RECORD, { ...RECORD, id: 7 }),
    keep(RECORD, { ...RECORD, order: -1 }),
    keep(RECORD, { ...RECORD, order: "1" }),
    keep(RECORD, { ...RECORD, ttlMs: -1 }),
    keep(RECORD, { ...RECORD, ttlMs: 1e300 }),
    keep(RECORD, { ...RECORD, softwareVersion: null }),
    keep(RECORD, { ...RECORD, softwareVersion: "v".repeat(1001) }),
    keep(...Array.from({ length: MAX_BATCH_RECORDS + 1 }, () => RECORD)),
  ];
  for (const message of malformed) {
    assert.deepEqual(post(message), { status: 400 }, JSON.stringify(message));
  }
  for (const text of ["", "{", '{"type":"keep"', "\u0000"]) {
    assert.deepEqual(server.respond(text), { status: 400 });
  }
  assert.equal(table.size, 0);
});

test("a batch of the largest size is kept", () => {
  const { table, post } = createServer();
  const records = Array.from({ length: MAX_BATCH_RECORDS }, (_, at) => ({
    ...RECORD,
    id: `${at}`.padStart(200, "0"),
  }));
  assert.equal(post(keep(...records)).status, 204);
  assert.equal(table.size, MAX_BATCH_RECORDS);
});

test("no message makes a host fail or store more than it was sent", () => {
  const record = fc.record({
    service: fc.oneof(fc.string(), fc.anything()),
    id: fc.oneof(fc.string({ maxLength: 300 }), fc.anything()),
    order: fc.oneof(fc.nat(), fc.anything()),
    ttlMs: fc.oneof(fc.nat(), fc.anything()),
  });
  const message = fc.record({
    type: fc.constantFrom("keep", "ask", "other"),
    origin: fc.string(),
    records: fc.oneof(fc.array(record, { maxLength: 5 }), fc.anything()),
    service: fc.string(),
    id: fc.string(),
  });
  fc.assert(fc.property(message, (sent) => {
    const { table, server } = createServer();
    const text = JSON.stringify(
      sent,
      (_, value: unknown) => typeof value === "bigint" ? String(value) : value,
    );
    const { status } = server.respond(text);
    assert.ok([200, 204, 400].includes(status));
    assert.ok(table.size <= 5 && (status === 204 || table.size === 0));
  }));
});
