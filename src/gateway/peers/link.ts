/** A long-lived connection that carries lines of JSON in both directions. */
import { type IncomingMessage, request } from "node:http";
import type { Writable } from "node:stream";
import { parseAddress } from "../../util/address.ts";
import type { Milliseconds } from "../../util/units.ts";
import { LineSplitter } from "../../util/line_splitter.ts";
import type { Clock } from "../clock.ts";
import { LinkDirection, LinkTraffic } from "./link_traffic.ts";
import type { Metrics } from "../observe/metrics.ts";
import { RUN_HEADER } from "./peer_process.ts";

/** Paths, on a host's peer address, of the links that it accepts. */
export const LinkPath = {
  /** To the planner of a service. */
  plan: "/plan",
  /** To the host that reads the store for its hall. */
  state: "/follow",
  /** To an owner of customers' quotas. */
  quota: "/quota",
  /** To an owner of the limits that replicas name. */
  limit: "/limit",
  /** To a host that carries tunnels of the one that opens the link. */
  tunnel: "/tunnel",
} as const;
/** One of the values of {@link LinkPath}. */
export type LinkPath = typeof LinkPath[keyof typeof LinkPath];

/** Header with the name of the host that opens the link. */
export const LINK_HOST_HEADER = "otterhill-host";
const CONNECT_TIMEOUT_MS = 400;
/**
 * Heartbeat of one end of a link: it sends a line at least every
 * `pingIntervalMs`, and closes the link if nothing arrives for `timeoutMs`. The
 * `busy` times apply for {@link BUSY_PERIOD_MS} after a message from the
 * opener.
 */
type HeartbeatPolicy = {
  readonly busy: HeartbeatTimes;
  readonly idle: HeartbeatTimes;
};
type HeartbeatTimes = {
  readonly pingIntervalMs: Milliseconds;
  readonly timeoutMs: Milliseconds;
};
const IDLE_TIMES: HeartbeatTimes = { pingIntervalMs: 1000, timeoutMs: 3100 };
/**
 * The opener of a link waits for responses, so after it has sent a message it
 * must detect an unreachable acceptor within about a second. The acceptor may
 * take longer: until then, only the resources of a lost opener remain reserved.
 * Idle links ping less often, to limit the load of an idle host.
 */
const OPENER_HEARTBEAT: HeartbeatPolicy = {
  busy: { ...IDLE_TIMES, timeoutMs: 900 },
  idle: IDLE_TIMES,
};
const ACCEPTOR_HEARTBEAT: HeartbeatPolicy = {
  busy: { ...IDLE_TIMES, pingIntervalMs: 290 },
  idle: IDLE_TIMES,
};
/**
 * Times for links whose openers share state at the acceptor, such as a quota.
 * All openers must detect a lost acceptor at about the same time, even when
 * idle, and the acceptor must detect a lost opener.
 */
const MONITORED_TIMES: HeartbeatTimes = {
  pingIntervalMs: 400,
  timeoutMs: 1300,
};
const MONITORED_OPENER_HEARTBEAT: HeartbeatPolicy = {
  busy: { ...MONITORED_TIMES, timeoutMs: OPENER_HEARTBEAT.busy.timeoutMs },
  idle: MONITORED_TIMES,
};
const MONITORED_ACCEPTOR_HEARTBEAT: HeartbeatPolicy = {
  busy: {
    ...MONITORED_TIMES,
    pingIntervalMs: ACCEPTOR_HEARTBEAT.busy.pingIntervalMs,
  },
  idle: MONITORED_TIMES,
};
/**
 * Time for which a link counts as busy after a message from its opener. Must
 * exceed the busy timeout of the opener.
 */
const BUSY_PERIOD_MS = 1000;
const PING_START = '{"type":"ping"';
const PING_LINE = `${PING_START}}\n`;
/** The link is closed on a longer line; a listing of a large fleet fits. */
const MAX_LINE_CHARS = 8 << 20;
/** The link is closed if more than this is buffered for a slow reader. */
const MAX_UNSENT_BYTES = 1 << 20;

/** One end of a link. */
export type Link = {
  send(message: object): void;
  close(): void;
};

/** Callbacks of a link. */
export type LinkEvents = {
  /** The acceptor has responded. */
  ready?(): void;
  line(text: string): void;
  /** Called once, when the link closes for any reason. */
  closed(): void;
};

/** The remote end of a link, and the options for opening it. */
export type LinkTarget = {
  readonly address: string;
  readonly path: LinkPath;
  /** Name of the host that opens the link. */
  readonly self: string;
  /** Identifies the run of its process. */
  readonly run?: string;
  readonly clock: Clock;
  /** Uses short heartbeat times when idle, too; must be set at both ends. */
  readonly isCloselyMonitored?: boolean;
  /** Counts what passes. */
  readonly metrics?: Pick<Metrics, "countLabelled"> | undefined;
};

/** Opens a link to a host; `closed` is also called if that fails. */
export function openLink(target: LinkTarget, events: LinkEvents): Link {
  const address = parseAddress(target.address);
  if (!address) {
    // As with a failed connection, after the caller has the link.
    setImmediate(() => events.closed());
    return { send: () => undefined, close: () => undefined };
  }
  const outgoing = request({
    ...address,
    method: "POST",
    path: target.path,
    headers: {
      [LINK_HOST_HEADER]: target.self,
      ...(target.run === undefined ? {} : { [RUN_HEADER]: target.run }),
    },
    agent: false,
  });
  outgoing.flushHeaders();
  const end = createLinkEnd(outgoing, {
    clock: target.clock,
    heartbeat: target.isCloselyMonitored
      ? MONITORED_OPENER_HEARTBEAT
      : OPENER_HEARTBEAT,
    isOpener: true,
    events,
    traffic: new LinkTraffic(target.path, target.metrics),
  });
  const cancel = target.clock.after(CONNECT_TIMEOUT_MS, () => end.close());
  outgoing.on("response", (response) => {
    cancel();
    events.ready?.();
    end.read(response);
  });
  return end;
}

/** Accepts a link that a host has opened. */
export function acceptLink(
  incoming: IncomingMessage,
  response: Writable,
  options: Pick<LinkTarget, "clock" | "isCloselyMonitored" | "metrics"> & {
    readonly events: LinkEvents;
  },
): Link {
  const heartbeat = options.isCloselyMonitored
    ? MONITORED_ACCEPTOR_HEARTBEAT
    : ACCEPTOR_HEARTBEAT;
  const end = createLinkEnd(response, {
    ...options,
    heartbeat,
    isOpener: false,
    traffic: new LinkTraffic(incoming.url ?? "", options.metrics),
  });
  end.read(incoming);
  return end;
}

type LinkEnd = Link & { read(from: IncomingMessage): void };

type LinkEndOptions = {
  readonly clock: Clock;
  readonly heartbeat: HeartbeatPolicy;
  readonly isOpener: boolean;
  readonly events: LinkEvents;
  readonly traffic: LinkTraffic;
};

/** The timers of one end of a link: for pings, and for closing the link. */
class Keepalive {
  readonly #clock: Clock;
  readonly #heartbeat: HeartbeatPolicy;
  readonly #callbacks: { ping(): void; timedOut(): void };
  #busyUntil: Milliseconds = -Infinity;
  #receivedAt: Milliseconds | undefined;
  #cancelPing = () => {};
  #cancelTimeout = () => {};

  constructor(
    { clock, heartbeat }: Pick<LinkEndOptions, "clock" | "heartbeat">,
    callbacks: { ping(): void; timedOut(): void },
  ) {
    this.#clock = clock;
    this.#heartbeat = heartbeat;
    this.#callbacks = callbacks;
    this.#schedulePing();
  }

  get #times(): HeartbeatTimes {
    const isBusy = this.#clock.now() < this.#busyUntil;
    return isBusy ? this.#heartbeat.busy : this.#heartbeat.idle;
  }

  /** Records that the opener has sent a message. */
  noteBusy(): void {
    const wasBusy = this.#clock.now() < this.#busyUntil;
    this.#busyUntil = this.#clock.now() + BUSY_PERIOD_MS;
    if (wasBusy) return;
    this.#schedulePing();
    if (this.#receivedAt !== undefined) {
      this.#scheduleTimeout(this.#times.timeoutMs);
    }
  }

  /** Records that something has arrived. */
  noteReceived(): void {
    this.#receivedAt = this.#clock.now();
    this.#scheduleTimeout(this.#times.timeoutMs);
  }

  stop(): void {
    this.#cancelPing();
    this.#cancelTimeout();
  }

  #schedulePing(): void {
    this.#cancelPing();
    this.#cancelPing = this.#clock.after(this.#times.pingIntervalMs, () => {
      this.#callbacks.ping();
      this.#schedulePing();
    });
  }

  #scheduleTimeout(afterMs: Milliseconds): void {
    this.#cancelTimeout();
    this.#cancelTimeout = this.#clock.after(
      afterMs,
      () => this.#checkTimeout(),
    );
  }

  /** Reports the timeout, unless the link became idle and has time left. */
  #checkTimeout(): void {
    const sinceReceivedMs = this.#clock.now() - (this.#receivedAt ?? -Infinity);
    const leftMs = this.#times.timeoutMs - sinceReceivedMs;
    const isBusy = this.#clock.now() < this.#busyUntil;
    if (isBusy || leftMs <= 0) return this.#callbacks.timedOut();
    this.#scheduleTimeout(leftMs);
  }
}

function createLinkEnd(
  out: Writable,
  { clock, heartbeat, isOpener, events, traffic }: LinkEndOptions,
): LinkEnd {
  let open = true;
  const close = () => {
    if (!open) return;
    open = false;
    keepalive.stop();
    out.destroy();
    events.closed();
  };
  let isPingDue = true;
  const write = (line: string) => {
    if (!open) return;
    isPingDue = false;
    if (out.writableLength > MAX_UNSENT_BYTES) return close();
    traffic.note(LinkDirection.sent, line);
    out.write(line);
  };
  const keepalive = new Keepalive({ clock, heartbeat }, {
    // Other messages count as heartbeats: pings only if none was sent.
    ping: () => {
      if (isPingDue) write(PING_LINE);
      isPingDue = true;
    },
    timedOut: close,
  });
  out.on("error", close);
  out.on("close", close);
  write(PING_LINE);
  return {
    send: (message) => {
      if (isOpener) keepalive.noteBusy();
      write(`${JSON.stringify(message)}\n`);
    },
    close,
    read: (from) => {
      keepalive.noteReceived();
      from.on("error", close);
      from.on("close", close);
      const splitter = new LineSplitter(MAX_LINE_CHARS);
      from.setEncoding("utf8");
      from.on("data", (chunk: string) => {
        // A long line may take longer than the timeout to arrive.
        keepalive.noteReceived();
        const lines = splitter.push(chunk);
        if (!lines) return close();
        for (const line of lines) {
          traffic.note(LinkDirection.received, `${line}\n`);
          if (line.startsWith(PING_START)) continue;
          if (!isOpener) keepalive.noteBusy();
          events.line(line);
        }
      });
    },
  };
}
