/** A caller that reads the raw bytes of a response, to see how it ends. */
import { connect } from "node:net";

/** How the end of a response looks to its caller. */
export const SeenEnding = {
  /** The framing says that the body is complete. */
  complete: "complete",
  /** The connection ended in order; the framing says nothing. */
  connection: "connection",
  /** The response is recognizably incomplete. */
  truncated: "truncated",
} as const;
/** One of the values of {@link SeenEnding}. */
export type SeenEnding = typeof SeenEnding[keyof typeof SeenEnding];

/** A response as its caller sees it. */
export type SeenResponse = {
  readonly status: number;
  /** In lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  readonly ending: SeenEnding;
};

/** Options of {@link callRaw}. */
export type RawCallOptions = {
  readonly id?: string;
  readonly path?: string;
  readonly headers?: readonly string[];
  readonly version?: "1.0" | "1.1";
  /** Called with each part that is received. */
  readonly onData?: () => void;
};

/** Sends a GET request over a new connection and reads until its end. */
export function callRaw(
  address: string,
  options: RawCallOptions = {},
): Promise<SeenResponse> {
  const { id = "1", path = "/a/b", headers = [], version = "1.1" } = options;
  const [host, port] = address.split(":");
  const socket = connect({ host, port: Number(port) });
  const head = [
    `GET ${path} HTTP/${version}`,
    "host: example",
    `x-id: ${id}`,
    "connection: close",
    ...headers,
  ];
  socket.write(`${head.join("\r\n")}\r\n\r\n`);
  return new Promise((resolve) => {
    let text = "";
    let isReset = false;
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      options.onData?.();
    });
    // A reset right behind the last bytes is reported as an end.
    socket.on("end", () => isReset ||= socket.remoteAddress === undefined);
    socket.on("error", () => isReset = true);
    socket.on("close", () => resolve(readResponse(text, isReset)));
  });
}

function readResponse(text: string, isReset: boolean): SeenResponse {
  const headEnd = text.indexOf("\r\n\r\n");
  const [statusLine = "", ...lines] = text.slice(0, headEnd).split("\r\n");
  const headers = new Map(lines.map((line): [string, string] => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const status = Number(statusLine.split(" ")[1] ?? 0);
  const rest = headEnd < 0 ? "" : text.slice(headEnd + 4);
  const length = headers.get("content-length");
  if (headers.get("transfer-encoding") === "chunked") {
    const { body, isWhole } = joinChunks(rest);
    return { status, headers, body, ending: framed(isWhole) };
  }
  if (length !== undefined) {
    const isWhole = rest.length === Number(length);
    return { status, headers, body: rest, ending: framed(isWhole) };
  }
  const isOpenEnded = headEnd >= 0 && !isReset;
  const ending = isOpenEnded ? SeenEnding.connection : SeenEnding.truncated;
  return { status, headers, body: rest, ending };
}

function framed(isWhole: boolean): SeenEnding {
  return isWhole ? SeenEnding.complete : SeenEnding.truncated;
}

function joinChunks(text: string): { body: string; isWhole: boolean } {
  let body = "";
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf("\r\n", at);
    if (lineEnd < 0) return { body, isWhole: false };
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    if (size === 0) return { body, isWhole: text.endsWith("0\r\n\r\n") };
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    at = lineEnd + 2 + size + 2;
  }
}
