/**
 * Bounds the bytes of all responses of the store and of hosts that are being
 * read. No response waits for another: when there is no room, the address that
 * holds most loses its longest response, so one that sends too much, or never
 * ends its responses, doesn't fail the calls to others.
 */

/** A response that is being read. */
export type HeldResponse = {
  /** Holds this many bytes in all; may break off any response, also this one. */
  hold(bytes: number): void;
  /** Releases all bytes. */
  release(): void;
};

type Entry = { readonly breakOff: () => void; bytes: number };

/** The responses of one address, in the order in which they began. */
type AddressEntries = { readonly entries: Set<Entry>; bytes: number };

/** Bounds the sum of responses. */
export class ResponseBudget {
  readonly #capacity: number;
  readonly #addresses = new Map<string, AddressEntries>();
  #bytes = 0;

  /** `capacity` is in bytes. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Adds a response; `breakOff` is called at most once, to end it. */
  begin(address: string, breakOff: () => void): HeldResponse {
    const holder = this.#holderAt(address);
    const entry: Entry = { breakOff, bytes: 0 };
    holder.entries.add(entry);
    return {
      hold: (bytes) => {
        if (!holder.entries.has(entry)) return;
        this.#add(holder, entry, bytes - entry.bytes);
        while (this.#bytes > this.#capacity) this.#breakOffOne();
      },
      release: () => this.#remove(address, entry),
    };
  }

  #holderAt(address: string): AddressEntries {
    const existing = this.#addresses.get(address);
    if (existing) return existing;
    const holder = { entries: new Set<Entry>(), bytes: 0 };
    this.#addresses.set(address, holder);
    return holder;
  }

  #add(holder: AddressEntries, entry: Entry, bytes: number): void {
    entry.bytes += bytes;
    holder.bytes += bytes;
    this.#bytes += bytes;
  }

  #remove(address: string, entry: Entry): void {
    const holder = this.#addresses.get(address);
    if (!holder?.entries.delete(entry)) return;
    this.#add(holder, entry, -entry.bytes);
    if (holder.entries.size === 0) this.#addresses.delete(address);
  }

  #breakOffOne(): void {
    const [address, holder] =
      largest([...this.#addresses], ([, { bytes }]) => bytes) ?? [];
    const entry = holder && largest([...holder.entries], ({ bytes }) => bytes);
    if (address === undefined || !entry) return;
    this.#remove(address, entry);
    entry.breakOff();
  }
}

/** The first of the items that have the largest size. */
function largest<Item>(
  items: readonly Item[],
  sizeOf: (item: Item) => number,
): Item | undefined {
  let [found] = items;
  for (const item of items) {
    if (found !== undefined && sizeOf(item) > sizeOf(found)) found = item;
  }
  return found;
}
