/** A long-lived connection over which lines of JSON go both ways. */
import { type IncomingMessage, request } from "node:http";
import type { Writable } from "node:stream";
import { parseAddress } from "../../util/address.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";

/** The links that a host serves, by their path on the peers' address. */
export const LinkPath = {
  /** To the planner of a service. */
  plan: "/plan",
  /** To the host that reads the store for its hall. */
  state: "/follow",
  /** To an owner of customers' quotas. */
  quota: "/quota",
  /** To an owner of the limits that replicas name. */
  limit: "/limit",
} as const;
/** One of the values of {@link LinkPath}. */
export type LinkPath = typeof LinkPath[keyof typeof LinkPath];

/** Header with the asking host's name. */
export const LINK_HOST_HEADER = "otterhill-host";
const CONNECT_MS = 400;
/**
 * How one end of a link keeps it alive: it sends a line at least every
 * `pingMs`, and takes the link for dead after `silentMs` without one. While the
 * link is busy the short times hold, else the long ones.
 */
type Heartbeat = {
  readonly busy: HeartbeatTimes;
  readonly idle: HeartbeatTimes;
};
type HeartbeatTimes = {
  readonly pingMs: Milliseconds;
  readonly silentMs: Milliseconds;
};
const IDLE: HeartbeatTimes = { pingMs: 1000, silentMs: 3100 };
/**
 * Who opened a link waits for answers, so once it has sent something it must
 * soon know that the other side is gone: three heartbeats within an objective
 * of about a second. The side that answers has time: a place of a lost host is
 * only memory that is free sooner or later. Heartbeats are most of what a host
 * does at rest (docs/CAPACITY.md), so an idle link has few.
 */
const OPENED: Heartbeat = { busy: { ...IDLE, silentMs: 900 }, idle: IDLE };
const ACCEPTED: Heartbeat = { busy: { ...IDLE, pingMs: 290 }, idle: IDLE };
/**
 * Hosts that share something with the other openers of a link have to notice
 * together that the other side is gone, also those that ask nothing just then,
 * and the other side has to notice that they have left: three heartbeats of
 * 400 ms.
 */
const WATCHFUL: HeartbeatTimes = { pingMs: 400, silentMs: 1300 };
const WATCHFUL_OPENED: Heartbeat = {
  busy: { ...WATCHFUL, silentMs: OPENED.busy.silentMs },
  idle: WATCHFUL,
};
const WATCHFUL_ACCEPTED: Heartbeat = {
  busy: { ...WATCHFUL, pingMs: ACCEPTED.busy.pingMs },
  idle: WATCHFUL,
};
/**
 * A link is busy for so long after a line of its opener; longer than the opener
 * needs to notice that nobody answers it.
 */
const BUSY_MS = 1000;
const PING_LINE = '{"type":"ping"}\n';
/** A peer that does not read is cut off at this many waiting bytes. */
const UNSENT_LIMIT = 1 << 20;

/** One end of a link. */
export type Link = {
  send(message: object): void;
  close(): void;
};

/** What happens on a link. */
export type LinkEvents = {
  /** The other side has answered. */
  ready?(): void;
  line(text: string): void;
  /** Once, when the link ends for whatever reason. */
  closed(): void;
};

/** Where a link leads, and from whom. */
export type LinkTarget = {
  readonly address: string;
  readonly path: LinkPath;
  readonly self: string;
  readonly clock: Clock;
  /** A link at rest is watched closely, too; both ends have to say so. */
  readonly isWatchful?: boolean;
};

/** Opens a link to a host; `closed` tells also that none came about. */
export function openLink(source: LinkTarget, events: LinkEvents): Link {
  const place = parseAddress(source.address);
  const sending = request({
    host: place?.host,
    port: place?.port,
    method: "POST",
    path: source.path,
    headers: { [LINK_HOST_HEADER]: source.self },
    agent: false,
  });
  sending.flushHeaders();
  const end = makeEnd(sending, {
    clock: source.clock,
    beat: source.isWatchful ? WATCHFUL_OPENED : OPENED,
    isOpener: true,
    events,
  });
  const cancel = source.clock.after(CONNECT_MS, () => end.close());
  sending.on("response", (answer) => {
    cancel();
    events.ready?.();
    end.read(answer);
  });
  return end;
}

/** Takes a link that a host has opened. */
export function acceptLink(
  incoming: IncomingMessage,
  answer: Writable,
  source: Pick<LinkTarget, "clock" | "isWatchful"> & {
    readonly events: LinkEvents;
  },
): Link {
  const beat = source.isWatchful ? WATCHFUL_ACCEPTED : ACCEPTED;
  const end = makeEnd(answer, { ...source, beat, isOpener: false });
  end.read(incoming);
  return end;
}

type End = Link & { read(from: IncomingMessage): void };

type EndSource = {
  readonly clock: Clock;
  readonly beat: Heartbeat;
  readonly isOpener: boolean;
  readonly events: LinkEvents;
};

/** The timers of one end: when it pings, and when it gives the link up. */
class Keepalive {
  readonly #clock: Clock;
  readonly #beat: Heartbeat;
  readonly #on: { ping(): void; silent(): void };
  #busyUntil: Milliseconds = -Infinity;
  #heardAt: Milliseconds | undefined;
  #cancelPing = () => {};
  #cancelSilence = () => {};

  constructor(
    { clock, beat }: Pick<EndSource, "clock" | "beat">,
    on: { ping(): void; silent(): void },
  ) {
    this.#clock = clock;
    this.#beat = beat;
    this.#on = on;
    this.#armPing();
  }

  get #times(): HeartbeatTimes {
    const isBusy = this.#clock.now() < this.#busyUntil;
    return isBusy ? this.#beat.busy : this.#beat.idle;
  }

  /** A line of the opener has gone or come. */
  noteBusy(): void {
    const wasBusy = this.#clock.now() < this.#busyUntil;
    this.#busyUntil = this.#clock.now() + BUSY_MS;
    if (wasBusy) return;
    this.#armPing();
    if (this.#heardAt !== undefined) this.#armSilence(this.#times.silentMs);
  }

  /** The other side has said something. */
  noteHeard(): void {
    this.#heardAt = this.#clock.now();
    this.#armSilence(this.#times.silentMs);
  }

  stop(): void {
    this.#cancelPing();
    this.#cancelSilence();
  }

  #armPing(): void {
    this.#cancelPing();
    this.#cancelPing = this.#clock.after(this.#times.pingMs, () => {
      this.#on.ping();
      this.#armPing();
    });
  }

  #armSilence(afterMs: Milliseconds): void {
    this.#cancelSilence();
    this.#cancelSilence = this.#clock.after(afterMs, () => this.#atSilence());
  }

  /** An end that became idle meanwhile waits for longer. */
  #atSilence(): void {
    const silentMs = this.#clock.now() - (this.#heardAt ?? -Infinity);
    const leftMs = this.#times.silentMs - silentMs;
    const gaveUpBusy = this.#clock.now() < this.#busyUntil;
    if (gaveUpBusy || leftMs <= 0) return this.#on.silent();
    this.#armSilence(leftMs);
  }
}

function makeEnd(
  out: Writable,
  { clock, beat, isOpener, events }: EndSource,
): End {
  let open = true;
  const close = () => {
    if (!open) return;
    open = false;
    keepalive.stop();
    out.destroy();
    events.closed();
  };
  let isQuiet = true;
  const write = (line: string) => {
    if (!open) return;
    isQuiet = false;
    if (out.writableLength > UNSENT_LIMIT) return close();
    out.write(line);
  };
  const keepalive = new Keepalive({ clock, beat }, {
    // What is sent says as much as a ping: one goes only after silence.
    ping: () => {
      if (isQuiet) write(PING_LINE);
      isQuiet = true;
    },
    silent: close,
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
      keepalive.noteHeard();
      from.on("error", close);
      from.on("close", close);
      readLines(from, (line) => {
        const isPing = line.startsWith('{"type":"ping"');
        if (!isPing && !isOpener) keepalive.noteBusy();
        keepalive.noteHeard();
        if (!isPing) events.line(line);
      });
    },
  };
}

function readLines(from: IncomingMessage, take: (line: string) => void): void {
  let rest = "";
  from.setEncoding("utf8");
  from.on("data", (text: string) => {
    const lines = (rest + text).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) if (line !== "") take(line);
  });
}
