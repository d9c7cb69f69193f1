/** Log events and metrics of one request. */
import type { GatewayContext } from "../context.ts";
import type { Milliseconds } from "../../util/units.ts";
import { MAX_LOGGED_PARTS, shortFingerprint } from "../crashes/fingerprint.ts";
import type { Quarantine } from "../crashes/model.ts";
import type { EventFields } from "../observe/event_log.ts";
import type { EventName } from "../observe/event_names.ts";
import { Timing } from "../observe/metrics.ts";
import { revisionOf } from "../position.ts";
import type { Answer } from "../upstreams/call.ts";
import { Framing } from "../upstreams/framing.ts";
import { BodyRecord, MAX_ID_CHARS } from "./body_record.ts";
import type { EventScanner } from "./event_scanner.ts";
import type { Placement } from "./placement.ts";
import type { EventPosition } from "./relay.ts";
import type { GatewayRequest } from "./request.ts";

/** Shorter delays before the placement are left out of the log. */
const MIN_SHOWN_DELAY_MS = 20;

/** A send, as it is logged. */
export type JournalledSend = {
  /** Number of sends of the request, including this one. */
  readonly sends: number;
  /** What this host has forwarded of the stream. */
  readonly position: EventPosition;
};

/** How far a request has come. */
export type RequestProgress = {
  /** Whether it may have run at a replica. */
  readonly mayHaveRun: boolean;
  /** Its route and its last send, for the log. */
  readonly fields: EventFields;
};

/** Writes the log events and the metrics of one request. */
export class RequestJournal {
  readonly #context: GatewayContext;
  readonly #request: GatewayRequest;
  /** Time from the arrival until all that precedes the placement is done. */
  readonly #startMs: Milliseconds;
  #lastSend:
    | { readonly replica: string; readonly at: Milliseconds }
    | undefined;
  /** The last response that was forwarded, at least in part. */
  #body: BodyRecord | undefined;
  #position: EventPosition = {};

  constructor(context: GatewayContext, request: GatewayRequest) {
    this.#context = context;
    this.#request = request;
    this.#startMs = context.clock.now() - request.receivedAt;
  }

  /** Logs an event with the fields that all events of the request share. */
  note(name: EventName, fields: EventFields = {}): void {
    const { facts, route, customer } = this.#request;
    this.#context.events.note(name, {
      request: facts.id,
      route: route.name,
      customer: customer?.name,
      ...fields,
    });
  }

  /** Logs why a replica was not used that the request had been placed at. */
  passedOver({ replica }: Placement, reason: string): void {
    this.note("passedOver", { replica: replica.entry.incarnation, reason });
  }

  /** Logs a send to a replica and what the placement was based on. */
  placed(placed: Placement, { sends, position }: JournalledSend): void {
    const { metrics, replicas, routes, clock, gate, paths } = this.#context;
    const { facts } = this.#request;
    const { incarnation: replica, softwareVersion } = placed.replica.entry;
    const isResumed = facts.lastEventId !== undefined;
    const isTunnelled = paths.monitor.isLost(replica);
    this.#lastSend = { replica, at: clock.now() };
    this.#position = position;
    metrics.count("sends");
    this.note("placed", {
      replica,
      software_version: softwareVersion,
      peer: isTunnelled ? paths.dialer.peerOf(replica) : undefined,
      prefill: placed.export?.replica.entry.incarnation,
      tokens: placed.tokens,
      priority: this.#request.priority,
      prompt: facts.promptTokens,
      parts: partsOf(this.#request),
      wait_ms: placed.waitMs,
      prefill_ms: placed.prefillMs,
      output_limit: facts.outputLimit,
      output_hint: facts.estimatedOutput,
      send: sends,
      resumes: isResumed ? facts.resumes : undefined,
      after: position.lastId ?? facts.lastEventId,
      backing_off: gate.backingOff || undefined,
      listing: revisionOf(replicas.revision),
      routes: routes.version,
    });
  }

  /** Records a response whose forwarding begins. */
  received(answer: Answer, scanner: EventScanner | undefined): void {
    this.#body = new BodyRecord(answer, scanner);
    if (answer.framing !== Framing.connection) return;
    this.#context.metrics.count("answers_unframed");
  }

  /** Logs that an interrupted stream goes on at another replica. */
  resumed({ replica: { entry } }: Placement, { lastId }: EventPosition): void {
    this.note("resumed", { lastId, software_version: entry.softwareVersion });
  }

  /** Logs that a response was forwarded up to its end. */
  answered(status: number, outcome: "complete" | "unconfirmed"): void {
    const { metrics } = this.#context;
    const isUnconfirmed = outcome === "unconfirmed";
    if (isUnconfirmed) metrics.count("answers_unconfirmed");
    const spentMs = this.#spentMs();
    metrics.time(Timing.whole, spentMs);
    metrics.count(status < 400 ? "answers_good" : "answers_failed");
    this.note("answered", {
      status,
      unconfirmed: isUnconfirmed || undefined,
      ...this.#bodyFields(),
      spent_ms: Math.round(spentMs),
      ...this.#delayFields(),
    });
  }

  /** How far the request has come, given whether it may have run. */
  progress(mayHaveRun: boolean): RequestProgress {
    const route = this.#request.route.name;
    return { mayHaveRun, fields: { route, ...this.#lastSendFields() } };
  }

  /** Logs that the request is not sent because it crashes replicas. */
  quarantined({ kind, fingerprint, incarnations }: Quarantine): void {
    const replicas = incarnations.join();
    this.note("heldBack", { kind, fingerprint, replicas });
  }

  /** Logs that the request ended without a complete response. */
  ended(
    name: "broken" | "failed" | "refused",
    fields: EventFields & { readonly error: string },
  ): void {
    this.#context.metrics.count(`ended_${fields.error}`);
    const spentMs = Math.round(this.#spentMs());
    const lastSend = name === "refused" ? {} : this.#lastSendFields();
    const body = name === "refused" ? {} : this.#bodyFields();
    this.note(name, {
      ...fields,
      ...body,
      ...lastSend,
      spent_ms: spentMs,
      ...this.#delayFields(),
    });
  }

  /**
   * The replica and the duration of the last send, and the fingerprint by which
   * the attempts of one request can be found in the logs of all hosts.
   */
  #lastSendFields(): EventFields {
    const fingerprint = this.#request.fingerprints.request();
    if (!this.#lastSend) return { fingerprint };
    const { replica, at } = this.#lastSend;
    const sentMs = Math.round(this.#context.clock.now() - at);
    return { fingerprint, replica, sent_ms: sentMs };
  }

  /** The last response, and the last event that was forwarded of any. */
  #bodyFields(): EventFields {
    const { lastId } = this.#position;
    return {
      ...this.#body?.fields(),
      last_id: lastId?.slice(0, MAX_ID_CHARS),
    };
  }

  #delayFields(): EventFields {
    const shown = (ms: Milliseconds) =>
      ms < MIN_SHOWN_DELAY_MS ? undefined : Math.round(ms);
    return {
      loop_ms: shown(this.#request.loopDelayMs),
      start_ms: shown(this.#startMs),
    };
  }

  #spentMs(): number {
    return this.#context.clock.now() - this.#request.receivedAt;
  }
}

/** The parts of the request's prompt that other requests may share. */
function partsOf({ fingerprints }: GatewayRequest): string | undefined {
  const parts = fingerprints.parts().slice(0, MAX_LOGGED_PARTS);
  return parts.length === 0 ? undefined : parts.map(shortFingerprint).join();
}
