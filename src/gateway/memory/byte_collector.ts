/** Collects bytes that arrive in parts, in little more memory than they take. */

/** Parts below this size are copied into a shared block. */
const MIN_PART_BYTES = 4096;
const BLOCK_BYTES = 16 * 1024;
const NO_BYTES = Buffer.alloc(0);

/** Bytes in the order of their arrival. */
export class ByteCollector {
  #parts: Buffer[] = [];
  #length = 0;
  /** Begins with the small parts behind the last of `#parts`. */
  #block: Buffer = NO_BYTES;
  #blockLength = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Appends a part. */
  push(part: Buffer): void {
    this.#length += part.length;
    if (part.length >= MIN_PART_BYTES) {
      this.#endPart();
      this.#parts.push(part);
      return;
    }
    if (this.#blockLength + part.length > this.#block.length) {
      this.#endPart();
      this.#block = Buffer.allocUnsafeSlow(blockBytes(this.#length));
    }
    part.copy(this.#block, this.#blockLength);
    this.#blockLength += part.length;
  }

  /** Removes and returns all bytes, in few parts. */
  take(): Buffer[] {
    this.#endPart();
    const parts = this.#parts;
    this.#parts = [];
    this.#block = NO_BYTES;
    this.#length = 0;
    return parts;
  }

  /** Returns a copy of all bytes. */
  bytes(): Buffer {
    const block = this.#block.subarray(0, this.#blockLength);
    return Buffer.concat([...this.#parts, block]);
  }

  #endPart(): void {
    if (this.#blockLength === 0) return;
    this.#parts.push(this.#block.subarray(0, this.#blockLength));
    this.#block = this.#block.subarray(this.#blockLength);
    this.#blockLength = 0;
  }
}

/** Small for the first bytes, as most bodies are. */
function blockBytes(length: number): number {
  return length <= MIN_PART_BYTES ? MIN_PART_BYTES : BLOCK_BYTES;
}
