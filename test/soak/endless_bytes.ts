/** Bytes without end in the place of a replica's responses. */
import type { Socket } from "node:net";

const CHUNK_BYTES = 16_384;
const FILLER = "x".repeat(CHUNK_BYTES);
/** Leaves the test's own event loop time for the others. */
const PAUSE_MS = 2;

/** How the bytes begin, and what is repeated after that. */
export type EndlessText = { readonly head: string; readonly repeated: string };

const CHUNKED =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNK = `${CHUNK_BYTES.toString(16)}\r\n${FILLER}\r\n`;

/** Texts that a replica in trouble may send. */
const TEXTS: readonly EndlessText[] = [
  { head: "", repeated: FILLER },
  { head: "HTTP/1.1 200 OK\r\nX-Long: ", repeated: FILLER },
  {
    head: "",
    repeated: "HTTP/1.1 102 Processing\r\n\r\n".repeat(500),
  },
  { head: CHUNKED, repeated: CHUNK },
  { head: "HTTP/1.1 500 Failed\r\n\r\n", repeated: FILLER },
  { head: `${CHUNKED}1;`, repeated: FILLER },
  { head: `${CHUNKED}0\r\nTrailer: `, repeated: FILLER },
];

/** Chooses one of the texts. */
export function endlessText(target: number): EndlessText {
  const [first = { head: "", repeated: FILLER }] = TEXTS;
  return TEXTS[target % TEXTS.length] ?? first;
}

/** Writes to a connection until it is closed. */
export function sendEndless(
  socket: Socket,
  { head, repeated }: EndlessText,
): void {
  socket.write(head);
  const writeMore = () => {
    if (socket.destroyed || !socket.writable) return;
    if (socket.write(repeated)) setTimeout(writeMore, PAUSE_MS);
    else socket.once("drain", writeMore);
  };
  writeMore();
}
