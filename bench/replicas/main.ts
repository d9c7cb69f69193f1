/** What a revision without changes costs a host: `npm run bench:replicas`. */
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

/** Milliseconds for each of `ROUNDS` revisions. */
function measure(take: (revision: number) => void): number {
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round++) take(round + 2);
  return (performance.now() - startedAt) / ROUNDS;
}

for (const count of [60, 600, 3000]) {
  const entries = entriesOf(count);
  const listed = new ReplicaTable();
  listed.adopt({ revision: 1, entries });
  const followed = new ReplicaTable();
  followed.adopt({ revision: 1, entries });
  const nothing = { since: 1, changed: [], gone: [], size: count };
  const whole = measure((revision) => listed.adopt({ revision, entries }));
  const delta = measure((revision) =>
    followed.follow({ ...nothing, revision })
  );
  console.log(
    `${count} replicas: whole listing ${whole.toFixed(3)} ms, ` +
      `a delta without changes ${delta.toFixed(4)} ms`,
  );
}
