/**
 * Pools of connections to replicas: for callers' requests, and for control
 * calls, which the gateway itself makes. A call that can't be sent over this
 * host's own path is sent through a peer.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { ReplicaPaths } from "../paths/create_paths.ts";
import {
  type HttpCall,
  onceConnected,
  startRoutedCall,
  startUnrepeatedCall,
} from "../paths/routed_call.ts";
import { NO_PEER_CODE, TunnelAgent } from "../paths/tunnel_agent.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import {
  type AgentSet,
  closeIdleThrough,
  createAgentSet,
  destroyAgents,
} from "./agent_set.ts";
import type { Call, CallOutcome, QueuedCall } from "./call.ts";
import { failedCall, startCall } from "./call.ts";
import type { ControlCallOptions } from "./control_call.ts";
import {
  type ControlOutcome,
  readControlResponse,
} from "./control_response.ts";
import type { JsonAnswer } from "./json_client.ts";
import { closeIdle, ReplicaAgent } from "./replica_agent.ts";

const JSON_HEADERS = ["Content-Type", "application/json"];
/** Maximum number of connections for control calls to one replica. */
const MAX_CONTROL_CONNECTIONS = 3;
/** Silence after which the path of a request is checked. */
const REQUEST_SILENCE_MS = 200;
/** The same for control calls, which need no work at the replica. */
const CONTROL_SILENCE_MS = 80;

/** Reason of calls that are aborted so that they can be sent again. */
const PATH_LOST_REASON = "The path to the replica was lost";

/** A call in progress over this host's own path. */
type DirectCall = {
  readonly entry: ReplicaEntry;
  readonly call: QueuedCall;
  /** It may be sent again if its path is lost. */
  readonly isRepeatable: boolean;
};

/** How a call uses the connections of its replica. */
type CallContext = {
  readonly entry: ReplicaEntry;
  readonly agents: AgentSet;
  readonly maxConnections: number;
  readonly silenceMs: Milliseconds;
  readonly isRepeatable: boolean;
  /** It must not be sent through a peer. */
  readonly isDirectOnly: boolean;
};

/** The connections of a gateway to all replicas. */
export class UpstreamPool {
  readonly #clock: Clock;
  readonly #paths: ReplicaPaths;
  /**
   * Requests and control calls never share a connection: the response to a
   * control call names no request, so a surplus response to a request could be
   * mistaken for it.
   */
  readonly #requestAgents = createAgentSet({ keepAlive: true });
  /** For requests whose id a shared connection may have carried. */
  readonly #resendAgents = createAgentSet({ keepAlive: false });
  /** For control calls with a check that allows shared connections. */
  readonly #sharedControlAgents = createAgentSet({ keepAlive: true });
  readonly #controlAgents = createAgentSet({ keepAlive: false });
  readonly #agentSets = [
    this.#requestAgents,
    this.#resendAgents,
    this.#sharedControlAgents,
    this.#controlAgents,
  ];
  readonly #directCalls = new Set<DirectCall>();
  /** Called when a replica has ended an idle connection. */
  #onIdleEnd: (entry: ReplicaEntry) => void = () => {};
  /** Replicas to which this host has had a connection of its own. */
  readonly #connected = new Map<string, ReplicaEntry>();

  constructor(clock: Clock, paths: ReplicaPaths) {
    this.#clock = clock;
    this.#paths = paths;
    paths.monitor.listen({
      lost: (entry) => this.#onPathLost(entry),
      unreachable: (entry) => this.#onUnreachable(entry),
    });
    paths.carriers.listen((peer) => closeIdleThrough(peer, this.#agentSets));
  }

  /** Calls `listener` when a replica has ended an idle connection. */
  listenForIdleEnds(listener: (entry: ReplicaEntry) => void): void {
    this.#onIdleEnd = listener;
  }

  /**
   * Sends a request unchanged to a replica. A connection that has carried its id
   * carries it no more: a copy of the earlier response could not be told from the
   * response to this send.
   */
  send(
    options: HttpCall & {
      readonly entry: ReplicaEntry;
      readonly maxConnections: number;
      readonly isRepeatable: boolean;
      /** The request has been sent to the replica before. */
      readonly isResend: boolean;
    },
  ): Call {
    const { entry, maxConnections, isRepeatable, isResend, ...call } = options;
    const start = (agents: AgentSet) =>
      this.#start(call, {
        entry,
        agents,
        maxConnections,
        silenceMs: REQUEST_SILENCE_MS,
        isRepeatable,
        isDirectOnly: false,
      });
    const startAlone = () => start(this.#resendAgents);
    if (isResend) return startAlone();
    return startUnrepeatedCall(() => start(this.#requestAgents), startAlone);
  }

  /**
   * Makes a control call; undefined if no complete response arrives within
   * `timeoutMs`. If the path is lost meanwhile, the call is made once more; if
   * the response belongs to an earlier call, on a connection of its own.
   */
  async sendControlCall(
    entry: ReplicaEntry,
    options: ControlCallOptions,
  ): Promise<JsonAnswer | undefined> {
    const { monitor } = this.#paths;
    const wasLost = monitor.isLost(entry.incarnation);
    const first = await this.#controlCall(entry, options);
    if (first.type === "answer") return first.answer;
    const isSurplus = first.type === "surplus";
    const isPathLost = !options.isDirectOnly && !wasLost &&
      monitor.isLost(entry.incarnation);
    if (!isSurplus && !isPathLost) return undefined;
    const check = isSurplus ? undefined : options.check;
    const second = await this.#controlCall(entry, { ...options, check });
    return second.type === "answer" ? second.answer : undefined;
  }

  async #controlCall(
    entry: ReplicaEntry,
    options: ControlCallOptions,
  ): Promise<ControlOutcome> {
    const { call, timeoutMs, isDirectOnly = false } = options;
    const { check = { type: "ownConnection" } } = options;
    const isShared = check.type !== "ownConnection";
    const httpCall = this.#start({
      method: call.method,
      path: call.path,
      headers: [
        ...(call.body === undefined ? [] : JSON_HEADERS),
        ...(call.headers ?? []),
      ],
      body: Buffer.from(call.body ?? ""),
    }, {
      entry,
      agents: isShared ? this.#sharedControlAgents : this.#controlAgents,
      maxConnections: MAX_CONTROL_CONNECTIONS,
      silenceMs: CONTROL_SILENCE_MS,
      isRepeatable: !isDirectOnly,
      isDirectOnly,
    });
    const cancel = this.#clock.after(
      timeoutMs,
      () => httpCall.abort("Call timed out"),
    );
    const sent = await httpCall.outcome;
    const outcome: ControlOutcome = sent.type === "answer"
      ? await readControlResponse(sent.answer, check)
      : { type: "noAnswer" };
    cancel();
    if (outcome.type === "surplus") options.onSurplus?.();
    return outcome;
  }

  #start(call: HttpCall, context: CallContext): Call {
    const { dialer, monitor, directTimeoutMs, connectTimeoutMs } = this.#paths;
    const { entry, isDirectOnly } = context;
    if (isDirectOnly || !dialer.hasPeers) {
      return this.#startDirect(call, context, connectTimeoutMs);
    }
    monitor.retry(entry.incarnation);
    if (monitor.isUnreachable(entry.incarnation)) {
      return failedCall("No host reaches the replica");
    }
    const direct = () => this.#startDirect(call, context, directTimeoutMs);
    const tunnelled = () => this.#startTunnelled(call, context);
    if (!monitor.isLost(entry.incarnation)) {
      const onConnected = () => monitor.noteLost(entry, "notConnected");
      const fallback = () =>
        this.#startTunnelled(onceConnected(call, onConnected), context);
      return startRoutedCall(
        [direct, fallback],
        (_, outcome) => this.#notSent(entry, outcome),
      );
    }
    return startRoutedCall(
      [tunnelled, direct],
      (outcome) => this.#notSent(entry, outcome),
    );
  }

  #startDirect(
    call: HttpCall,
    { entry, agents, maxConnections, silenceMs, isRepeatable }: CallContext,
    connectTimeoutMs: Milliseconds,
  ): Call {
    const { monitor, connect } = this.#paths;
    const { incarnation, address } = entry;
    const { keepAlive } = agents;
    const agent = agents.direct.get(incarnation) ??
      new ReplicaAgent({
        maxConnections,
        keepAlive,
        onIdleEnd: () => this.#onIdleEnd(entry),
      }, connect);
    agent.limitConnections(maxConnections);
    // Nothing would remove what is stored for a replica that isn't listed.
    if (monitor.isListed(entry)) {
      agents.direct.set(incarnation, agent);
      // The replicas in use last are at the end.
      this.#connected.delete(incarnation);
      this.#connected.set(incarnation, entry);
    }
    const sentAt = this.#clock.now();
    const started = startCall({
      ...call,
      address,
      agent,
      clock: this.#clock,
      connectTimeoutMs,
      queueTimeoutMs: this.#paths.connectTimeoutMs,
    });
    const directCall = { entry, call: started, isRepeatable };
    this.#directCalls.add(directCall);
    const endWatch = monitor.watch(entry, { sentAt, silenceMs });
    const outcome = started.outcome.then((result) => {
      endWatch();
      this.#directCalls.delete(directCall);
      if (result.type === "answer") monitor.noteReceived(this.#clock.now());
      return result;
    });
    return { outcome, abort: started.abort };
  }

  #startTunnelled(
    call: HttpCall,
    { entry, agents, maxConnections }: CallContext,
  ): Call {
    const { dialer, monitor, carriers, tunnelTimeoutMs, connectTimeoutMs } =
      this.#paths;
    const { incarnation, address } = entry;
    const agent = agents.tunnelled.get(incarnation) ?? new TunnelAgent({
      maxConnections,
      keepAlive: agents.keepAlive,
      clock: this.#clock,
      open: () => dialer.open(entry, tunnelTimeoutMs),
      carriers,
    });
    agent.limitConnections(maxConnections);
    if (monitor.isListed(entry)) agents.tunnelled.set(incarnation, agent);
    return startCall({
      ...call,
      address,
      agent,
      clock: this.#clock,
      connectTimeoutMs,
      peerOf: (socket) => agent.peerOf(socket),
    });
  }

  /** Handles a call that was sent over neither path; `outcome` is a peer's. */
  #notSent(
    entry: ReplicaEntry,
    outcome: CallOutcome,
  ): CallOutcome {
    const { monitor } = this.#paths;
    if (outcome.type !== "notSent") return outcome;
    const isLocal = outcome.code === NO_PEER_CODE;
    if (!isLocal) monitor.noteUnreachable(entry);
    return { ...outcome, isLocal };
  }

  /** Stops using the connections over a path that is lost. */
  #onPathLost(lost: ReplicaEntry): void {
    const { incarnation } = lost;
    for (const { entry, call, isRepeatable } of this.#directCalls) {
      if (entry.incarnation !== incarnation) continue;
      if (isRepeatable || call.isQueued()) call.abort(PATH_LOST_REASON);
    }
    this.#onUnreachable(lost);
  }

  /** Closes connections that are silent, and checks the paths of the others. */
  #onUnreachable({ incarnation }: ReplicaEntry): void {
    for (const { direct } of this.#agentSets) {
      closeIdle(direct.get(incarnation));
    }
    // They are probably lost as well, and their next calls need not wait.
    this.#paths.monitor.checkAll([...this.#connected.values()]);
  }

  /**
   * Drops the agents of a removed replica and closes their idle connections.
   */
  removeReplica(incarnation: string): void {
    const { monitor, dialer } = this.#paths;
    monitor.removeReplica(incarnation);
    dialer.removeReplica(incarnation);
    this.#connected.delete(incarnation);
    for (const set of this.#agentSets) {
      // Requests in progress keep their connections until they end.
      const isForRequests = set === this.#requestAgents ||
        set === this.#resendAgents;
      for (const agents of [set.direct, set.tunnelled]) {
        const agent = agents.get(incarnation);
        agents.delete(incarnation);
        if (isForRequests) closeIdle(agent);
        else agent?.destroy();
      }
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#paths.carriers.close();
    destroyAgents(this.#agentSets);
  }
}
