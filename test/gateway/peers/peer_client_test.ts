/** Tests how a host gets its listing from a peer. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import { ListingPacer } from "../../../src/gateway/peers/listing_pacer.ts";
import {
  PeerClient,
  PeerSubject,
} from "../../../src/gateway/peers/peer_client.ts";
import { peerStateResponse } from "../../../src/gateway/peers/server.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import type { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { neverSuspended } from "../never_suspended.ts";
import { replicaEntry } from "../replica_entry.ts";

// Guards against a host that gets the same useless changes with each poll.
test("after changes that don't match its listing a host gets the full one", async () => {
  const entries = ["a", "b", "c"].map((id) => replicaEntry(id));
  const remote = new ReplicaTable();
  remote.adopt({ revision: 1, entries });
  remote.adopt({ revision: 2, entries: entries.slice(1) });
  const local = new ReplicaTable();
  // Lacks a replica that the peer has at this position.
  local.adopt({ revision: 1, entries: entries.slice(0, 2) });
  const { clock } = new VirtualTime();
  const contextOf = (replicas: ReplicaTable) =>
    ({
      clock,
      replicas,
      routes: new RouteTable(),
      events: { note: () => undefined },
      suspensions: neverSuspended(),
    }) as unknown as GatewayContext;
  const self = { id: "peer", address: "peer", hall: "h" };
  const bodies: string[] = [];
  const listings = new ListingPacer();
  const client = new PeerClient({
    context: contextOf(local),
    directory: new HostDirectory({ ...self, id: "local" }, []),
    synchronizer: {
      applyListing: (listing) => local.adopt(listing) !== undefined,
    } as Pick<Synchronizer, "applyListing"> as Synchronizer,
    connections: {
      call: (_address, { path }) => {
        const directory = new HostDirectory(self, []);
        const context = contextOf(remote);
        const body = JSON.stringify(peerStateResponse({
          context,
          self,
          directory,
          listings,
          configAgeMs: () => Infinity,
        }, path));
        bodies.push(body);
        return Promise.resolve({ status: 200, body });
      },
    },
  });
  await client.request("peer", PeerSubject.state);
  assert.ok(bodies[0]?.includes('"changes"'));
  assert.equal(local.revision, 1);
  await client.request("peer", PeerSubject.state);
  assert.deepEqual(local.entries(), remote.entries());
  remote.adopt({ revision: 3, entries: entries.slice(2) });
  await client.request("peer", PeerSubject.state);
  assert.ok(bodies[2]?.includes('"changes"'));
  assert.deepEqual(local.entries(), remote.entries());
});
