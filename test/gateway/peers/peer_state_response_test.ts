/** Tests what a host sends to peers that the store does not serve. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  encodePeerState,
  parseStateRequest,
  readPeerState,
  stateRequestPath,
} from "../../../src/gateway/peers/peer_state.ts";
import { newerState } from "../../../src/gateway/peers/server.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { replicaEntry } from "../replica_entry.ts";

/** The response of a host with this table, as sent. */
function responseOf(replicas: ReplicaTable): string {
  const context = { routes: new RouteTable(), replicas };
  const state = newerState(context, { version: 0, revision: -1 }, []);
  return JSON.stringify(encodePeerState(state));
}

// Guards against peers that take retained replicas for listed ones.
test("a peer learns which replicas of a listing are retained", () => {
  const replicas = new ReplicaTable();
  const received = () => readPeerState(responseOf(replicas))?.listing;
  replicas.adopt({ revision: 1, entries: [replicaEntry("a")] });
  assert.equal(received()?.isInexact, false);
  replicas.adopt({ revision: 2, entries: [] }, { retainMissing: true });
  assert.equal(received()?.entries.length, 1);
  assert.equal(received()?.isInexact, true);
  const { incarnation } = replicaEntry("a");
  assert.deepEqual(received()?.retained, [incarnation]);
});

test("a listing of a peer that doesn't say whether it is exact is not", () => {
  const replicas = new ReplicaTable();
  replicas.adopt({ revision: 1, entries: [replicaEntry("a")] });
  const message = JSON.parse(responseOf(replicas)) as {
    listing: { isExact?: boolean };
  };
  delete message.listing.isExact;
  const state = readPeerState(JSON.stringify(message));
  assert.equal(state?.listing?.isInexact, true);
});

// Guards against full listings to peers that lack only the last changes.
test("a peer with a known base gets the changes, others the listing", () => {
  const replicas = new ReplicaTable();
  const entries = [replicaEntry("a"), replicaEntry("b")];
  replicas.adopt({ revision: 1, entries });
  replicas.adopt({ revision: 3, entries: [replicaEntry("a")] });
  const context = { routes: new RouteTable(), replicas };
  const received = (base?: number) => {
    const path = stateRequestPath({ version: 0, revision: base ?? -1, base });
    const state = newerState(context, parseStateRequest(path), []);
    return readPeerState(JSON.stringify(encodePeerState(state)));
  };
  const state = received(1);
  assert.equal(state?.listing, undefined);
  assert.ok(state?.changes);
  const peer = new ReplicaTable();
  peer.adopt({ revision: 1, entries });
  const listing = peer.listingAfter(state.changes);
  assert.deepEqual(listing, { revision: 3, entries: [replicaEntry("a")] });
  // A table at another position is no base for them.
  assert.equal(new ReplicaTable().listingAfter(state.changes), undefined);
  for (const base of [undefined, 0]) {
    assert.equal(received(base)?.changes, undefined);
    assert.equal(received(base)?.listing?.entries.length, 1);
  }
  assert.equal(received(3)?.changes, undefined);
});
