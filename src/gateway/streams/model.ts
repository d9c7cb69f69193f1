/** Streams, and the software versions at which they may go on. */
import type { Milliseconds } from "../../util/units.ts";

/** A stream, by the attempt that brought its first event. */
export type StreamKey = { readonly service: string; readonly id: string };

/** A replica's software version; undefined: its entry names none. */
export type SoftwareVersion = string | undefined;

/** At which software version a resumed stream may go on. */
export type VersionBinding =
  | { readonly type: "bound"; readonly softwareVersion: SoftwareVersion }
  /** Nobody knows which version began it, and several may have. */
  | { readonly type: "unknown" };

/** The version of the replica to which a stream was last sent. */
export type StreamRecord = {
  readonly stream: StreamKey;
  readonly softwareVersion: SoftwareVersion;
  /** The run of a host that sent the stream. */
  readonly origin: string;
  /** Increases with each record of its origin. */
  readonly order: number;
  /**
   * Its origin sent the stream to another version before, so other hosts may have
   * a record of that. Only known at the origin.
   */
  readonly isContradicted?: boolean;
  /**
   * Its caller has received the first event, so its version won't change. Only
   * known at the origin.
   */
  readonly hasBegun?: boolean;
  /** By the clock of the host that stores the record. */
  readonly expiresAt: Milliseconds;
};

/**
 * Maximum length of a stream's id. Clients choose it, and each record holds
 * one.
 */
export const MAX_STREAM_ID_CHARS = 200;

/** Longest time for which a record is stored, whatever a route allows. */
export const MAX_RECORD_TTL_MS = 3_600_000;

/** Whether records are kept for the stream. */
export function isRecordable({ id }: StreamKey): boolean {
  return id !== "" && id.length <= MAX_STREAM_ID_CHARS;
}
