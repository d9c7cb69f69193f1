/** Asks peers for state while the store does not answer this host. */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import type { HostEntry, Store } from "../port.ts";
import { positionOf } from "../position.ts";
import type { Synchronizer } from "../state/synchronizer.ts";
import { within } from "../state/within.ts";
import type { HostDirectory } from "./directory.ts";
import {
  exchangeRows,
  type HostReading,
  type HostRowCall,
  readHosts,
} from "./host_rows.ts";
import { type PeerQuestions, PeerSubject } from "./peer_questions.ts";

/** Without an answer of the store for so long, peers are asked. */
const STORE_SILENT_MS = 1300;
const ASK_MS = 400;
/** A host without a configuration can serve nothing: it asks more often. */
const FIRST_ASK_MS = 100;
/** Questions that may wait for their answers at a time. */
const MOST_OPEN_QUESTIONS = 3;
/** Time after which a host writes its row again. */
const ROW_MS = 20_000;
/** A row is written so soon after the followers have changed. */
const ROW_CHECK_MS = 1000;
/** A starting host that knows others of its hall leaves its row to them. */
const FIRST_ROW_MS = 2000;
/** The reader of a hall looks for new hosts so often. */
const LOOK_MS = 4000;
/** At the start all hosts come up together: they look more often. */
const FIRST_LOOKS_MS = [1500, 3000];
const ROW_FAILED_MS = 2000;
const STORE_TIMEOUT_MS = 1500;
/** From whom crashes come that rows tell of. */
const ROWS = "rows";

/** What the loops need. */
export type PeerLoopSource = {
  readonly context: GatewayContext;
  readonly self: HostEntry;
  readonly store: Store;
  readonly directory: HostDirectory;
  readonly synchronizer: Synchronizer;
  readonly questions: PeerQuestions;
  /** Hosts that follow this one. */
  followers(): readonly HostEntry[];
  /** The host that this one follows is of its hall and names it in its row. */
  isNamedByReader(): boolean;
};

/** Runs the loops for as long as the process lives. */
export function startPeerLoops(source: PeerLoopSource): void {
  void keepRow(source);
  void findHosts(source);
  void askPeers(source);
}

/**
 * Writes the row of this host and its followers now and then, and soon after a
 * change. A host of whom another writes has no row to keep.
 */
async function keepRow(source: PeerLoopSource): Promise<void> {
  const { context: { clock, crashes, eras }, self } = source;
  let written:
    | { readonly at: Milliseconds; readonly names: string }
    | undefined;
  if (await findNeighbours(source)) await sleep(clock, FIRST_ROW_MS);
  for (;;) {
    const hosts = [self, ...source.followers()];
    const worst = crashes.worst();
    const crashed = worst.records.map((one) =>
      `${one.fingerprint} ${one.incarnation}`
    );
    // What the store lost of this row is written again once the era is settled.
    const era = eras.isSettled(clock.now()) && eras.era > 0
      ? eras.era
      : undefined;
    const names = [...hosts.map((one) => one.id), ...crashed, `era ${era}`]
      .sort().join();
    const isDue = written === undefined || names !== written.names ||
      clock.now() - written.at >= ROW_MS;
    if (isDue && !source.isNamedByReader()) {
      const row = { writer: self.id, hosts, crashes: worst, era };
      const read = await callStore(
        source,
        "row",
        (call) => exchangeRows(call, row),
      );
      if (read) takeReading(source, read);
      written = read ? { at: clock.now(), names } : undefined;
    }
    const isCalm = written !== undefined || source.isNamedByReader();
    await sleep(clock, isCalm ? ROW_CHECK_MS : ROW_FAILED_MS);
  }
}

function callStore<Value>(
  { context: { clock, events }, store }: PeerLoopSource,
  call: string,
  work: (call: HostRowCall) => Promise<Value>,
): Promise<Value | undefined> {
  const now = () => clock.now();
  return within({
    clock,
    timeoutMs: STORE_TIMEOUT_MS,
    work: (signal) => work({ store, now, signal }),
    onFault: (reason) => events.note("callFailed", { call, reason }),
  });
}

function takeReading(
  { context: { clock, crashes, eras }, directory }: PeerLoopSource,
  reading: HostReading,
): void {
  const { settledEra } = reading;
  if (settledEra !== undefined) {
    eras.hear(positionOf(settledEra, 0), clock.now(), { isSettled: true });
  }
  directory.learnAll(reading.hosts, clock.now());
  for (const one of reading.crashes) crashes.take(one, ROWS);
}

/** Reads the hosts; whether one of this hall is among them. */
async function findNeighbours(source: PeerLoopSource): Promise<boolean> {
  const { self } = source;
  const read = await callStore(source, "hosts", readHosts);
  if (!read) return false;
  takeReading(source, read);
  return read.hosts.some(({ id, hall }) =>
    hall === self.hall && id !== self.id
  );
}

/** Looks for new hosts, unless the reader of the hall tells of them. */
async function findHosts(source: PeerLoopSource): Promise<void> {
  const { context: { clock }, synchronizer } = source;
  const pauses = [...FIRST_LOOKS_MS];
  for (;;) {
    await sleep(clock, pauses.shift() ?? LOOK_MS);
    if (synchronizer.isTold(clock.now())) continue;
    const read = await callStore(source, "hosts", readHosts);
    if (read) takeReading(source, read);
  }
}

/**
 * While the store says nothing, a peer is asked each {@link ASK_MS}, also while
 * an earlier one still owes its answer: it may be cut off, or its answer long.
 */
async function askPeers(source: PeerLoopSource): Promise<void> {
  const { context, directory, synchronizer, questions } = source;
  const { clock, random } = context;
  let open = 0;
  for (;;) {
    const knowsRoutes = context.routes.config !== undefined;
    const freshMs = synchronizer.freshForMs(clock.now());
    await sleep(clock, knowsRoutes ? Math.max(ASK_MS, freshMs) : FIRST_ASK_MS);
    const isSilent = synchronizer.storeAgeMs(clock.now()) >= STORE_SILENT_MS;
    if (!isSilent || open >= MOST_OPEN_QUESTIONS) continue;
    const addresses = directory.addresses();
    const address = addresses[Math.floor(random() * addresses.length)];
    if (address === undefined) continue;
    open += 1;
    void questions.ask(address, PeerSubject.state).then(() => open -= 1);
  }
}
