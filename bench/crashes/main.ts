/** npm run bench:crashes: the cost of the crash table of a host. */
import { encodeCrashes } from "../../src/gateway/crashes/crash_messages.ts";
import { CrashTable } from "../../src/gateway/crashes/crash_table.ts";
import { SuspectKind } from "../../src/gateway/crashes/model.ts";
import { fingerprintOf } from "../../src/gateway/crashes/fingerprint.ts";

const ROUNDS = 200;
const LIMITS = { crashThreshold: 3, ttlMs: 300_000 };

/** Returns the mean time of a round in milliseconds. */
function measure(work: (round: number) => void): number {
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round++) work(round);
  return (performance.now() - startedAt) / ROUNDS;
}

for (const bytes of [2_000, 64_000, 4_000_000]) {
  const request = {
    method: "POST",
    host: "example",
    target: "/path",
    customer: "customer",
    body: Buffer.alloc(bytes, "x"),
  };
  const ms = measure(() => fingerprintOf(request));
  console.log(
    `${bytes} bytes of a body: ${ms.toFixed(3)} ms to fingerprint it`,
  );
}

for (const requests of [20, 1000]) {
  const table = new CrashTable(LIMITS);
  const nameOf = (at: number) => String(at).padStart(32, "0");
  const crash = (at: number, replica: string) => ({
    kind: SuspectKind.request,
    fingerprint: nameOf(at),
    incarnation: replica,
    at: at * 100,
    ranMs: 1000,
  });
  const records = Array.from(
    { length: requests },
    (_, at) => crash(at, `i-${at % 50}`),
  );
  table.merge({ records, clearances: [] }, 0);
  const ms = measure((round) => {
    const record = crash(round % requests, `j-${round}`);
    table.merge({ records: [record], clearances: [] }, 0);
  });
  const size = JSON.stringify(encodeCrashes(table.all(0), 0)).length;
  console.log(
    `${requests} requests: ${ms.toFixed(3)} ms for one more crash, ` +
      `${Math.round(size / 1000)} KB to send all`,
  );
}
