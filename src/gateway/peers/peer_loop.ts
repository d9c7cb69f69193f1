/** Loops that write this host's row, discover hosts and poll peers. */
import type { Milliseconds } from "../../util/units.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import { keepRunning } from "../keep_running.ts";
import type { HostEntry, Store } from "../port.ts";
import { positionOf } from "../position.ts";
import type { Synchronizer } from "../state/synchronizer.ts";
import { withTimeout } from "../state/with_timeout.ts";
import type { HostDirectory } from "./directory.ts";
import { contentOf } from "../streams/version_report.ts";
import {
  exchangeRows,
  type HostReading,
  type HostRow,
  type HostRowCall,
  readHosts,
} from "./host_rows.ts";
import { type PeerClient, PeerSubject } from "./peer_client.ts";

/** Peers are polled after this time without a response from the store. */
const STORE_UNAVAILABLE_AFTER_MS = 1300;
const POLL_INTERVAL_MS = 400;
/** Used until the host has a configuration, without which it can't serve. */
const STARTUP_POLL_INTERVAL_MS = 100;
const MAX_PENDING_REQUESTS = 3;
/** Interval at which an unchanged row is written again. */
const ROW_INTERVAL_MS = 20_000;
/** Interval at which a change of the row's content is detected. */
const ROW_CHECK_INTERVAL_MS = 1000;
/** Delay of a new host's row if its hall has other hosts, which may list it. */
const FIRST_ROW_DELAY_MS = 2000;
/** Interval at which a host that follows no reader reads the list of hosts. */
const DISCOVERY_INTERVAL_MS = 4000;
/** The first delays are shorter, since all hosts may start at the same time. */
const STARTUP_DISCOVERY_DELAYS_MS = [1500, 3000];
const ROW_RETRY_DELAY_MS = 2000;
const STORE_CALL_TIMEOUT_MS = 1500;
/** Origin of crash records that are read from rows. */
const CRASHES_FROM_ROWS = "rows";

/** Options of the loops. */
export type PeerLoopOptions = {
  readonly context: GatewayContext;
  readonly self: HostEntry;
  readonly store: Store;
  readonly directory: HostDirectory;
  readonly synchronizer: Synchronizer;
  readonly peerClient: PeerClient;
  /** Hosts that follow this one. */
  followers(): readonly HostEntry[];
  /**
   * Whether this host follows one of its hall that lists it in its row, and has
   * no followers to list.
   */
  isListedByReader(): boolean;
};

/** Starts the loops, which run until the process ends. */
export function startPeerLoops(options: PeerLoopOptions): void {
  for (const loop of [maintainRow, discoverHosts, pollPeers]) {
    void keepRunning(() => loop(options), options.context);
  }
}

/**
 * Writes the row of this host and its followers periodically and after changes,
 * unless the reader lists this host in its own row.
 */
async function maintainRow(options: PeerLoopOptions): Promise<void> {
  const { context: { clock, crashes, eras, streams }, self } = options;
  let written:
    | { readonly at: Milliseconds; readonly content: string }
    | undefined;
  if (await findHallHosts(options)) await sleep(clock, FIRST_ROW_DELAY_MS);
  for (;;) {
    const hosts = [self, ...options.followers()];
    const worst = crashes.worst();
    const crashed = worst.records.map((record) =>
      `${record.fingerprint} ${record.incarnation}`
    );
    // The era is part of the content: a restored store may have lost the row.
    const era = eras.isSettled(clock.now()) && eras.era > 0
      ? eras.era
      : undefined;
    const createContent = () =>
      [
        ...hosts.map((host) => host.id),
        ...crashed,
        `era ${era}`,
        contentOf(streams.report()),
      ].sort().join();
    let content = createContent();
    const isDue = written === undefined || content !== written.content ||
      clock.now() - written.at >= ROW_INTERVAL_MS;
    if (isDue && !options.isListedByReader()) {
      const createRow = (reading: HostReading): HostRow => {
        applyReading(options, reading);
        content = createContent();
        const versions = streams.report();
        return { writer: self.id, hosts, crashes: worst, versions, era };
      };
      const isWritten = await callStore(options, "row", async (call) => {
        await exchangeRows(call, createRow);
        return true;
      });
      written = isWritten ? { at: clock.now(), content } : undefined;
    }
    const isUpToDate = written !== undefined || options.isListedByReader();
    await sleep(clock, isUpToDate ? ROW_CHECK_INTERVAL_MS : ROW_RETRY_DELAY_MS);
  }
}

function callStore<Value>(
  { context: { clock, events }, store }: PeerLoopOptions,
  call: string,
  work: (call: HostRowCall) => Promise<Value>,
): Promise<Value | undefined> {
  const now = () => clock.now();
  return withTimeout({
    clock,
    timeoutMs: STORE_CALL_TIMEOUT_MS,
    work: (signal) => work({ store, now, signal }),
    onFault: (reason) => events.note("callFailed", { call, reason }),
  });
}

function applyReading(
  { context: { clock, crashes, eras, streams }, directory }: PeerLoopOptions,
  reading: HostReading,
): void {
  const { settledEra } = reading;
  if (settledEra !== undefined) {
    eras.observe(positionOf(settledEra, 0), clock.now(), { isSettled: true });
  }
  directory.addFromStore(reading.hosts, clock.now());
  streams.learn(reading.versions);
  for (const update of reading.crashes) {
    crashes.merge(update, CRASHES_FROM_ROWS);
  }
}

/** Reads the hosts, and returns whether another one is in this hall. */
async function findHallHosts(options: PeerLoopOptions): Promise<boolean> {
  const { self } = options;
  const reading = await callStore(options, "hosts", readHosts);
  if (!reading) return false;
  applyReading(options, reading);
  return reading.hosts.some(({ id, hall }) =>
    hall === self.hall && id !== self.id
  );
}

/**
 * Reads the hosts periodically, unless the reader of the hall reports them. What
 * the rows tell of software versions no other host reports.
 */
async function discoverHosts(options: PeerLoopOptions): Promise<void> {
  const { context: { clock, streams }, synchronizer } = options;
  const delays = [...STARTUP_DISCOVERY_DELAYS_MS];
  for (;;) {
    await sleep(clock, delays.shift() ?? DISCOVERY_INTERVAL_MS);
    const isReported = synchronizer.hasFreshReport(clock.now());
    if (isReported && streams.isCovered) continue;
    const reading = await callStore(options, "hosts", readHosts);
    if (reading) applyReading(options, reading);
  }
}

/**
 * While the store does not respond, polls a random peer every
 * {@link POLL_INTERVAL_MS}. Does not wait for earlier peers to respond: they
 * may be unreachable, or may send a large response.
 */
async function pollPeers(options: PeerLoopOptions): Promise<void> {
  const { context, directory, synchronizer, peerClient } = options;
  const { clock, random } = context;
  let pending = 0;
  for (;;) {
    const hasRoutes = context.routes.config !== undefined;
    const freshMs = synchronizer.freshForMs(clock.now());
    await sleep(
      clock,
      hasRoutes
        ? Math.max(POLL_INTERVAL_MS, freshMs)
        : STARTUP_POLL_INTERVAL_MS,
    );
    const isUnavailable =
      synchronizer.storeAgeMs(clock.now()) >= STORE_UNAVAILABLE_AFTER_MS;
    if (!isUnavailable || pending >= MAX_PENDING_REQUESTS) continue;
    const addresses = directory.addresses();
    const address = addresses[Math.floor(random() * addresses.length)];
    if (address === undefined) continue;
    pending += 1;
    void peerClient.request(address, PeerSubject.state).then(() =>
      pending -= 1
    );
  }
}
