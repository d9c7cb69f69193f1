/** Asks peers for state while the store does not answer this host. */
import type { Milliseconds } from "../../core/ids.ts";
import { sleep } from "../clock.ts";
import type { GatewayContext } from "../context.ts";
import type { HostEntry, Store } from "../port.ts";
import { createJsonClient, type JsonClient } from "../upstreams/json_client.ts";
import type { Synchronizer } from "../state/synchronizer.ts";
import { within } from "../state/within.ts";
import type { HostDirectory } from "./directory.ts";
import { exchangeRows, readHosts } from "./host_rows.ts";
import { type PeerState, questionPath, readPeerState } from "./peer_state.ts";

/** Without word from the store for so long, peers are asked. */
const STORE_SILENT_MS = 1300;
const ASK_MS = 400;
/** A host without a configuration can serve nothing: it asks more often. */
const FIRST_ASK_MS = 100;
const ASK_TIMEOUT_MS = 350;
/** Times of this host's own row and of the list of hosts. */
const ROW_MS = 20_000;
/** The reader of a hall looks for new hosts so often. */
const LOOK_MS = 4000;
/** At the start all hosts come up together: they look more often. */
const FIRST_LOOKS_MS = [1500, 3000];
const ROW_FAILED_MS = 2000;
const STORE_TIMEOUT_MS = 1500;

/** What the loops need. */
export type PeerLoopSource = {
  readonly context: GatewayContext;
  readonly self: HostEntry;
  readonly store: Store;
  readonly directory: HostDirectory;
  readonly synchronizer: Synchronizer;
};

/** Runs the loops for as long as the process lives. */
export function startPeerLoops(source: PeerLoopSource): void {
  void keepRow(source);
  void findHosts(source);
  void askPeers(source);
}

/** Writes this host's row now and then. */
async function keepRow(source: PeerLoopSource): Promise<void> {
  const { context: { clock }, store, self, directory } = source;
  for (;;) {
    const hosts = await within(
      clock,
      STORE_TIMEOUT_MS,
      (signal) => exchangeRows(store, self, signal),
    );
    if (hosts) directory.learn(hosts, clock.now());
    await sleep(clock, hosts ? ROW_MS : ROW_FAILED_MS);
  }
}

/** Looks for new hosts, unless the reader of the hall tells of them. */
async function findHosts(source: PeerLoopSource): Promise<void> {
  const { context: { clock }, store, directory, synchronizer } = source;
  const pauses = [...FIRST_LOOKS_MS];
  for (;;) {
    await sleep(clock, pauses.shift() ?? LOOK_MS);
    if (synchronizer.isTold(clock.now())) continue;
    const hosts = await within(
      clock,
      STORE_TIMEOUT_MS,
      (signal) => readHosts(store, signal),
    );
    if (hosts) directory.learn(hosts, clock.now());
  }
}

async function askPeers(source: PeerLoopSource): Promise<void> {
  const { context, directory, synchronizer } = source;
  const { clock, random } = context;
  const clients = new Map<string, JsonClient>();
  for (;;) {
    const knowsRoutes = context.routes.config !== undefined;
    await sleep(clock, knowsRoutes ? ASK_MS : FIRST_ASK_MS);
    const now = clock.now();
    const isSilent = synchronizer.storeAgeMs(now) >= STORE_SILENT_MS;
    if (!isSilent && !synchronizer.isBehind(now)) continue;
    const addresses = directory.addresses();
    const address = addresses[Math.floor(random() * addresses.length)];
    if (address === undefined) continue;
    const client = clients.get(address) ?? createJsonClient(address, clock);
    clients.set(address, client);
    await askOne(source, client, address);
  }
}

async function askOne(
  source: PeerLoopSource,
  client: JsonClient,
  address: string,
): Promise<void> {
  const { context } = source;
  const { routes, replicas, clock } = context;
  const path = questionPath({
    version: routes.version,
    revision: replicas.revision,
  });
  const answer = await within(
    clock,
    ASK_TIMEOUT_MS,
    (signal) => client.call({ method: "GET", path }, signal),
  );
  const state = answer && readPeerState(answer.body);
  if (state) takeState(source, state, address, clock.now());
}

function takeState(
  source: PeerLoopSource,
  state: PeerState,
  address: string,
  now: Milliseconds,
): void {
  const { context, directory, synchronizer } = source;
  directory.learn(state.hosts, now);
  if (!state.config && !state.listing) return;
  context.events.note("peerState", {
    peer: address,
    version: state.config?.version,
    revision: state.listing?.revision,
  });
  if (state.config) synchronizer.takeConfig(state.config, address);
  if (state.listing) synchronizer.takeListing(state.listing, address);
}
