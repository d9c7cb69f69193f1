/** npm run bench:replicas: the cost of a listing revision without changes. */
import type { ReplicaEntry } from "../../src/gateway/mod.ts";
import { ReplicaTable } from "../../src/gateway/replicas/replica_table.ts";

const ROUNDS = 200;

function entriesOf(count: number): ReplicaEntry[] {
  return Array.from({ length: count }, (_, at) => ({
    id: `i-${at}`,
    incarnation: `i-${at}`,
    service: `service-${at % 3}`,
    address: `10.0.${at >> 8}.${at & 255}:8080`,
    hall: `hall-${at % 3}`,
    slots: 64,
    leaving: false,
    coldMs: 0,
  }));
}

/** Returns the mean time of a revision in milliseconds. */
function measure(apply: (revision: number) => void): number {
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round++) apply(round + 2);
  return (performance.now() - startedAt) / ROUNDS;
}

for (const count of [60, 600, 3000]) {
  const entries = entriesOf(count);
  const listed = new ReplicaTable();
  listed.adopt({ revision: 1, entries });
  const followed = new ReplicaTable();
  followed.adopt({ revision: 1, entries });
  const emptyDelta = { since: 1, changed: [], gone: [], size: count };
  const full = measure((revision) => listed.adopt({ revision, entries }));
  const delta = measure((revision) =>
    followed.applyDelta({ ...emptyDelta, revision })
  );
  console.log(
    `${count} replicas: full listing ${full.toFixed(3)} ms, ` +
      `a delta without changes ${delta.toFixed(4)} ms`,
  );
}
