/** Counts the messages and bytes that the hosts of a simulated fleet send. */

/** A message between two hosts. */
type SentMessage = {
  readonly from: string;
  readonly to: string;
  readonly text: string;
};

/** Messages and their bytes. */
export type TrafficCount = { messages: number; bytes: number };

/** Traffic by sender and receiver, and by kind of message. */
export class FleetTraffic {
  #byHost = new Map<string, TrafficCount>();
  #byKind = new Map<string, TrafficCount>();

  note({ from, to, text }: SentMessage): void {
    addTo(this.#byHost, from, text);
    addTo(this.#byHost, to, text);
    addTo(this.#byKind, kindOf(text), text);
  }

  /** Forgets all messages so far. */
  reset(): void {
    this.#byHost = new Map();
    this.#byKind = new Map();
  }

  /** What the host with the most bytes has sent and received. */
  get busiest(): TrafficCount {
    const counts = [...this.#byHost.values()];
    return counts.sort((a, b) => b.bytes - a.bytes)[0] ??
      { messages: 0, bytes: 0 };
  }

  /** Counts by kind of message. */
  get kinds(): ReadonlyMap<string, TrafficCount> {
    return this.#byKind;
  }
}

function addTo(
  counts: Map<string, TrafficCount>,
  key: string,
  text: string,
): void {
  const count = counts.get(key) ?? { messages: 0, bytes: 0 };
  count.messages += 1;
  count.bytes += Buffer.byteLength(text) + 1;
  counts.set(key, count);
}

/** The type of a message, and for a state whether it has a listing. */
function kindOf(text: string): string {
  const type = /^\{"type":"(\w+)"/.exec(text)?.[1] ?? "peer state";
  if (type !== "state") return type;
  const since = /"listing":\{"since":(-?\d+)/.exec(text)?.[1];
  if (since === undefined) {
    return text.includes('"hosts":[') ? "state with hosts" : "state";
  }
  if (text.includes('"buckets":')) return "state with differences";
  return since === "-1" ? "state with full listing" : "state with changes";
}
