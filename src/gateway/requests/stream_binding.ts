/**
 * Binds a resumable stream to the software version that began it: replicas of
 * another version can't continue it, and accept it all the same.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import {
  hasRequiredVersion,
  type RequiredVersion,
} from "../replicas/required_version.ts";
import { isRepeatable, RouteKind } from "../routing/model.ts";
import type { StreamVersions } from "../streams/stream_versions.ts";
import type { StreamKey } from "../streams/model.ts";
import type { GatewayContext } from "../context.ts";
import type { GatewayRequest } from "./request.ts";

/** How long after the deadline of a request its caller may resume its stream. */
const RETURN_MARGIN_MS: Milliseconds = 30_000;

/**
 * Share of the time for which a caller waits for an event that is spent on a
 * silent replica; the rest is for another one.
 */
const START_CHECK_SHARE = 0.5;

/**
 * Share of the time for which a caller waits for an event that may be spent on
 * finding the version of its stream; the rest is for the replica.
 */
const RESOLUTION_SHARE = 0.75;

/** Records which software version began a stream, and finds it again. */
export type StreamVersionSource = Pick<
  StreamVersions,
  "note" | "noteBegun" | "resolve"
>;

/** What a {@link StreamBinding} depends on. */
export type BindingContext =
  & Pick<GatewayContext, "clock" | "events" | "metrics" | "starts">
  & {
    readonly streams: StreamVersionSource;
  };

/** The version to which the stream of one request is bound. */
export class StreamBinding {
  readonly #context: BindingContext;
  readonly #request: GatewayRequest;
  /** The version of the replica that the request was sent to last. */
  #sentTo: RequiredVersion | undefined;
  #requiredVersion: RequiredVersion | undefined;
  /** The stream as it was recorded at its last send; undefined: it was not. */
  #recorded: StreamKey | undefined;
  /**
   * Resolves when the last send is recorded at another host. A stream that its
   * caller received earlier could not be resumed if this host ended. False: other
   * hosts would resume it at another version.
   */
  #mayBegin: Promise<boolean> = Promise.resolve(true);
  /** Incarnations that don't run as they are listed, as far as is known. */
  readonly #outdated = new Set<string>();

  constructor(
    context: BindingContext,
    request: GatewayRequest,
  ) {
    this.#context = context;
    this.#request = request;
  }

  /** The version that all further sends require; undefined: any will do. */
  get requiredVersion(): RequiredVersion | undefined {
    return this.#requiredVersion;
  }

  /** Whether the request may be sent to the replica. */
  allows(entry: ReplicaEntry): boolean {
    return hasRequiredVersion(entry, this.#requiredVersion);
  }

  /**
   * Binds a stream that the caller resumes; called before the first placement.
   * Returns false if the version that began it is unknown.
   */
  async resolve(): Promise<boolean> {
    const { facts } = this.#request;
    if (!this.#isResumable || facts.lastEventId === undefined) return true;
    const key = this.#keyOf(facts.resumes);
    const { streams, clock } = this.#context;
    const { route, deadline } = this.#request;
    const leftMs = Math.min(route.silenceMs, deadline - clock.now());
    const version = await streams.resolve(key, RESOLUTION_SHARE * leftMs);
    if (version.type === "unknown") return false;
    this.#requiredVersion = { softwareVersion: version.softwareVersion };
    return true;
  }

  /** Records a send, so that any host can resume the stream it may begin. */
  noteSend({ softwareVersion }: ReplicaEntry): void {
    this.#sentTo = { softwareVersion };
    const { facts, deadline } = this.#request;
    const isResumed = facts.lastEventId !== undefined;
    const id = isResumed ? facts.resumes ?? facts.id : facts.id;
    if (!this.#isResumable || id === undefined) return;
    const { clock, streams } = this.#context;
    const ttlMs = Math.max(0, deadline - clock.now()) + RETURN_MARGIN_MS;
    const key = this.#recorded = this.#keyOf(id);
    this.#mayBegin = streams.note(key, softwareVersion, ttlMs);
  }

  /**
   * Whether the caller may receive the response that the replica is sending.
   * False: other hosts would resume the stream at another version, or the replica
   * has perhaps started again since its entry was written, with another version.
   */
  async mayForward(entry: ReplicaEntry): Promise<boolean> {
    const [isRecorded, isOfListedVersion] = await Promise.all([
      this.#mayBegin,
      this.#isOfListedVersion(entry),
    ]);
    return isRecorded && isOfListedVersion;
  }

  /**
   * Whether a response is of the software version that the replica's entry names.
   * A bound stream waits until the replica has confirmed its start. A new one asks
   * once if the replica may have started again: one that is merely slow to report
   * may begin it.
   */
  async #isOfListedVersion(entry: ReplicaEntry): Promise<boolean> {
    const { starts } = this.#context;
    const isBound = this.#requiredVersion !== undefined;
    if (!isBound && !(this.#isResumable && starts.mayHaveEnded(entry))) {
      return true;
    }
    const { route, facts } = this.#request;
    const timeoutMs = START_CHECK_SHARE * route.silenceMs;
    const start = isBound
      ? await starts.find(entry, timeoutMs)
      : await starts.findOnce(entry);
    if (start === "asListed" || start === "notReported") return true;
    if (!isBound && start === "silent") return true;
    const { incarnation } = entry;
    this.#outdated.add(incarnation);
    this.#context.metrics.count(`continuations_withheld_${start}`);
    this.#context.events.note("continuationWithheld", {
      request: facts.id,
      replica: incarnation,
      start,
    });
    return false;
  }

  /** Whether the replica, as listed, has been found not to run. */
  isOutdated({ incarnation }: ReplicaEntry): boolean {
    return this.#outdated.has(incarnation);
  }

  /** Clients choose the ids, so those of different customers are kept apart. */
  #keyOf(id: string | undefined): StreamKey {
    const { service, customer } = this.#request;
    if (id === undefined) return { service, id: "" };
    return { service, id: customer ? `${customer.name} ${id}` : id };
  }

  /** Binds the stream to the replica whose first event is being forwarded. */
  noteForwarded(): void {
    this.#requiredVersion ??= this.#sentTo;
    if (this.#recorded) this.#context.streams.noteBegun(this.#recorded);
  }

  get #isResumable(): boolean {
    const { route } = this.#request;
    return route.kind === RouteKind.streaming && isRepeatable(route);
  }
}
