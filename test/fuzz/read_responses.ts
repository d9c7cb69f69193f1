/** Reads the responses of a connection, strictly. */

/** A response that was received, completely or not. */
export type ReadResponse = {
  readonly status: number;
  readonly id: string | undefined;
  readonly body: string;
  readonly isComplete: boolean;
};

/** The responses, or what is wrong with them. */
export type ReadResult =
  | { readonly type: "responses"; readonly responses: readonly ReadResponse[] }
  | { readonly type: "fault"; readonly reason: string };

/** Reads responses; `isEnded`: the connection has ended behind them. */
export function readResponses(text: string, isEnded: boolean): ReadResult {
  const responses: ReadResponse[] = [];
  let rest = text;
  while (rest !== "") {
    const headEnd = rest.indexOf("\r\n\r\n");
    if (headEnd < 0) break;
    const [statusLine = "", ...lines] = rest.slice(0, headEnd).split("\r\n");
    const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(statusLine)?.[1]);
    if (!(status >= 100)) return fault(`not a status line: ${statusLine}`);
    rest = rest.slice(headEnd + 4);
    if (status < 200) continue;
    const read = readBody(rest, headersOf(lines), isEnded);
    if (read === undefined) return fault(`malformed body of a ${status}`);
    const { body, isComplete } = read;
    const id = headersOf(lines).get("x-id");
    responses.push({ status, id, body, isComplete });
    if (!isComplete) break;
    rest = rest.slice(read.length);
  }
  return { type: "responses", responses };
}

type ReadBody = {
  readonly body: string;
  readonly length: number;
  readonly isComplete: boolean;
};

function readBody(
  text: string,
  headers: ReadonlyMap<string, string>,
  isEnded: boolean,
): ReadBody | undefined {
  if (headers.get("transfer-encoding") === "chunked") return readChunks(text);
  const length = headers.get("content-length");
  if (length === undefined) {
    return { body: text, length: text.length, isComplete: isEnded };
  }
  const body = text.slice(0, Number(length));
  const isComplete = body.length === Number(length);
  return { body, length: body.length, isComplete };
}

function readChunks(text: string): ReadBody | undefined {
  let body = "";
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf("\r\n", at);
    if (lineEnd < 0) return { body, length: at, isComplete: false };
    const line = text.slice(at, lineEnd);
    if (!/^[0-9a-f]+$/i.test(line)) return undefined;
    const size = Number.parseInt(line, 16);
    const end = lineEnd + 2 + size + 2;
    if (text.length < end) return { body, length: at, isComplete: false };
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    if (text.slice(end - 2, end) !== "\r\n") return undefined;
    if (size === 0) return { body, length: end, isComplete: true };
    at = end;
  }
}

function headersOf(lines: readonly string[]): Map<string, string> {
  return new Map(lines.map((line): [string, string] => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
}

function fault(reason: string): ReadResult {
  return { type: "fault", reason };
}
