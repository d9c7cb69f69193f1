/** Sends records to their keepers, in batches for each keeper. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { HostEntry } from "../port.ts";
import type { KeeperClient } from "./keeper_client.ts";
import { MAX_BATCH_RECORDS } from "./keeper_messages.ts";
import type { KeeperChoice } from "./keepers.ts";
import type { StreamKey, StreamRecord } from "./model.ts";

/** Maximum number of records that wait for one keeper. */
const MAX_WAITING_RECORDS = 10_000;
/**
 * A record that no host has is sent again after this time: its keepers may have
 * been too busy to respond, or cut off from this host.
 */
const RESEND_DELAY_MS = 500;
const MAX_RESENDS = 5;

/** A record on its way, and the hosts left that can replace a keeper. */
type Outgoing = {
  readonly record: StreamRecord;
  readonly spares: HostEntry[];
  /** It has failed at a keeper already. */
  readonly isSpare: boolean;
  /** Called once with whether this host or its spare has kept the record. */
  readonly onResult: (isKept: boolean) => void;
};

/** The records that wait for one keeper. */
type Mailbox = { host: HostEntry; readonly waiting: Outgoing[] };

/** Options of {@link RecordSender}. */
export type RecordSenderOptions = {
  /** The run of this host. */
  readonly origin: string;
  readonly clock: Clock;
  readonly metrics: Pick<Metrics, "count">;
  readonly client: Pick<KeeperClient, "send">;
  readonly chooseKeepers: (stream: StreamKey) => KeeperChoice;
  /** Whether this host has a later record of the same stream. */
  readonly isReplaced: (record: StreamRecord) => boolean;
};

/** Sends records; at most one batch at a time is on its way to a keeper. */
export class RecordSender {
  readonly #options: RecordSenderOptions;
  readonly #mailboxes = new Map<string, Mailbox>();

  constructor(options: RecordSenderOptions) {
    this.#options = options;
  }

  /**
   * Sends a record to the keepers of its stream. Resolves to whether one of them
   * has it: true when the first of them has, false when all have failed. Of a
   * record that contradicts an earlier one: to whether all of them have it, since
   * one that missed it could bind the stream to the earlier version.
   */
  async send(record: StreamRecord): Promise<boolean> {
    const isKept = await this.#sendToKeepers(record);
    if (!isKept) this.#resendLater(record, MAX_RESENDS);
    return isKept;
  }

  #resendLater(record: StreamRecord, resends: number): void {
    const { clock, metrics } = this.#options;
    if (resends === 0) return metrics.count("stream_records_unkept");
    clock.after(RESEND_DELAY_MS, () => {
      if (!this.#isCurrent(record, clock.now())) return;
      void this.#sendToKeepers(record).then((isKept) => {
        if (!isKept) this.#resendLater(record, resends - 1);
      });
    });
  }

  /** Resolves to the result of {@link send} as soon as it is known. */
  #sendToKeepers(record: StreamRecord): Promise<boolean> {
    const { keepers, spares } = this.#options.chooseKeepers(record.stream);
    const needsAll = record.isContradicted === true;
    // Shared, so that each keeper that fails is replaced by another spare. The
    // earlier record of a keeper that fails is not replaced by a spare's.
    const left = needsAll ? [] : [...spares];
    return new Promise((resolve) => {
      let waiting = keepers.length;
      if (waiting === 0) return resolve(false);
      const onResult = (isKept: boolean) => {
        waiting -= 1;
        if (isKept !== needsAll || waiting === 0) resolve(isKept);
      };
      for (const host of keepers) {
        this.#post(host, { record, spares: left, isSpare: false, onResult });
      }
    });
  }

  #post(host: HostEntry, outgoing: Outgoing): void {
    const existing = this.#mailboxes.get(host.id);
    const mailbox = existing ?? { host, waiting: [] };
    mailbox.host = host;
    mailbox.waiting.push(outgoing);
    if (mailbox.waiting.length > MAX_WAITING_RECORDS) {
      mailbox.waiting.shift()?.onResult(false);
      this.#options.metrics.count("stream_records_lost");
    }
    if (existing) return;
    this.#mailboxes.set(host.id, mailbox);
    void this.#flush(mailbox);
  }

  /** Sends what waits; records that are added meanwhile go in the next batch. */
  async #flush(mailbox: Mailbox): Promise<void> {
    // Records that are added together go in one batch.
    await Promise.resolve();
    while (mailbox.waiting.length > 0) await this.#sendBatch(mailbox);
    this.#mailboxes.delete(mailbox.host.id);
  }

  async #sendBatch({ host, waiting }: Mailbox): Promise<void> {
    const { clock, client, origin, metrics } = this.#options;
    const now: Milliseconds = clock.now();
    const batch = waiting.splice(0, MAX_BATCH_RECORDS);
    const records = batch.map(({ record }) => record)
      .filter((record) => this.#isCurrent(record, now));
    const isKept = records.length === 0 ||
      await client.send(host, { origin, records });
    metrics.count("stream_records_sent", isKept ? records.length : 0);
    for (const outgoing of batch) {
      if (isKept) outgoing.onResult(true);
      else this.#retry(outgoing);
    }
  }

  /** False: it is not worth sending any more. */
  #isCurrent(record: StreamRecord, now: Milliseconds): boolean {
    return record.expiresAt > now && !this.#options.isReplaced(record);
  }

  /** Sends a record once to the next host in place of its keeper. */
  #retry(outgoing: Outgoing): void {
    const { spares, isSpare } = outgoing;
    const spare = isSpare ? undefined : spares.shift();
    if (spare) return this.#post(spare, { ...outgoing, isSpare: true });
    outgoing.onResult(false);
    this.#options.metrics.count("stream_records_lost");
  }
}
