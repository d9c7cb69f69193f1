/** npm run bench:limits: the cost of replicas' rate limits on a host. */
import { limitAllowance } from "../../src/gateway/limits/allowance.ts";
import { LimitTable } from "../../src/gateway/limits/limit_table.ts";
import { encodeLimits } from "../../src/gateway/limits/limit_messages.ts";
import type { LimitHeader } from "../../src/gateway/mod.ts";
import { QuotaLedger } from "../../src/gateway/quota/ledger.ts";
import { SHARD_COUNT } from "../../src/gateway/quota/shards.ts";

const ROUNDS = 20_000;
const HOSTS = 334;
const REPLICAS = 600;
const PER_SECOND = 6.3;
const NONE: LimitHeader = { type: "none" };

/** Returns the mean time of a round in microseconds. */
function measure(work: (round: number) => void): number {
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round++) work(round);
  return (performance.now() - startedAt) * 1000 / ROUNDS;
}

const nameOf = (at: number) =>
  `i-${String(at).padStart(10, "0")}@1790000000000`;

const emptyTable = new LimitTable();
const observeUs = measure((round) => {
  const incarnation = nameOf(round % REPLICAS);
  emptyTable.observe({ incarnation, header: NONE, sentAt: round }, round);
});
console.log(`no limit known: ${observeUs.toFixed(2)} µs a response`);

const fullTable = new LimitTable();
fullTable.merge(Array.from({ length: REPLICAS }, (_, at) => ({
  incarnation: nameOf(at),
  perSecond: PER_SECOND,
  at: 0,
})));
const bytes = JSON.stringify(encodeLimits(fullTable.all(), 0)).length;
console.log(
  `${REPLICAS} limited replicas: ${Math.round(bytes / 1000)} KB to send all, ` +
    `${Math.round(bytes / REPLICAS)} bytes a change`,
);

const ledger = new QuotaLedger({
  allowance: ({ rate }, { share }) => limitAllowance(rate.perSecond, share),
  retentionMs: () => 5000,
  knownHosts: () => HOSTS,
});
const shards = Array.from({ length: SHARD_COUNT }, (_, at) => at);
for (let host = 0; host < HOSTS; host++) {
  const member = { shards, upMs: 60_000, usage: [] };
  ledger.setMember(`host-${host}`, member, 0);
}
let granted = 0;
const acquireUs = measure((round) => {
  const outcome = ledger.acquire({
    customer: nameOf(round % REPLICAS),
    units: 1,
    rate: { perSecond: PER_SECOND, burst: 0 },
    version: 0,
    mostWaitMs: 0,
  }, round * 1000 / 3800);
  if (outcome.type === "granted") granted += 1;
});
console.log(
  `an owner of all ${REPLICAS}, used by ${HOSTS} hosts, 3,800 requests a second: ` +
    `${acquireUs.toFixed(1)} µs a request, ${granted} of ${ROUNDS} granted`,
);
