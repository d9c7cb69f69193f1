/**
 * Guards against a caller that changes the record of another customer's stream
 * by naming its id.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { GatewayRequest } from "../../../src/gateway/requests/request.ts";
import { StreamBinding } from "../../../src/gateway/requests/stream_binding.ts";
import { replicaEntry } from "../replica_entry.ts";

/** The id under which a customer's stream is recorded. */
function recordedId(customer: string | undefined): string | undefined {
  const ids: string[] = [];
  const streams = { note: ({ id }: { readonly id: string }) => ids.push(id) };
  const context = { clock: { now: () => 0 }, streams };
  const request = {
    service: "service",
    route: { kind: RouteKind.streaming, resumable: true },
    facts: { id: "attempt" },
    deadline: 1000,
    ...(customer === undefined ? {} : { customer: { name: customer } }),
  };
  new StreamBinding(
    context as unknown as GatewayContext,
    request as unknown as GatewayRequest,
  ).noteSend(replicaEntry("a"));
  return ids[0];
}

test("streams of two customers with the same id have records of their own", () => {
  const ids = [undefined, "a", "b"].map(recordedId);
  assert.equal(new Set(ids).size, ids.length);
});
