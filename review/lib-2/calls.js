/** The requests of callers. */
import { request } from "node:http";
import { HOST } from "./world.js";

/**
 * Sends one attempt at a stream to a gateway; resolves to what the caller got.
 * `onEvent` is called for each event.
 */
export function callStream(
  gateway,
  { attempt, body, tokens, deadlineMs, lastEventId, resumes, onEvent },
) {
  const [host, port] = gateway.callers.split(":");
  const headers = {
    "Host": HOST,
    "Attempt-Id": attempt,
    "Model": "m",
    "Token-Counts": tokens.join(","),
    "Prompt-Prefix": `5c1e07a2:200,${Buffer.from(body).toString("hex")}:${
      tokens[0] - 200
    }`,
    "Deadline-Remaining-Ms": String(Math.round(deadlineMs)),
    ...(lastEventId === undefined ? {} : { "Last-Event-Id": lastEventId }),
    ...(resumes === undefined ? {} : { "Resumes": resumes }),
  };
  return new Promise((resolve) => {
    const outgoing = request(
      { host, port, method: "POST", path: "/clip/1", headers, agent: false },
      (answer) => {
        const { statusCode: status } = answer;
        const seal = answer.headers["server-seal"];
        const retryAfter = Number(answer.headers["retry-after"] ?? 0);
        let text = "";
        let isWhole = false;
        answer.setEncoding("utf8");
        answer.on("data", (part) => {
          text += part;
          for (;;) {
            const end = text.indexOf("\n\n");
            if (end < 0 || status !== 200) return;
            const event = text.slice(0, end);
            text = text.slice(end + 2);
            onEvent({
              id: /^id: (.*)$/m.exec(event)?.[1],
              data: JSON.parse(/^data: (.*)$/m.exec(event)[1]),
            });
          }
        });
        answer.on("end", () => isWhole = answer.complete);
        answer.on("error", () => undefined);
        answer.on(
          "close",
          () => resolve({ status, seal, isWhole, retryAfter, rest: text }),
        );
      },
    );
    outgoing.on("error", () => resolve({ status: 0, isWhole: false }));
    outgoing.end(body);
  });
}

/** Sends one request on the plain route; resolves to its status and body. */
export function callPlain(gateway, { attempt, deadlineMs }) {
  const [host, port] = gateway.callers.split(":");
  const headers = {
    "Host": HOST,
    "Attempt-Id": attempt,
    "Deadline-Remaining-Ms": String(deadlineMs),
  };
  return new Promise((resolve) => {
    const outgoing = request(
      { host, port, method: "POST", path: "/thumb/1", headers, agent: false },
      (answer) => {
        const { statusCode: status } = answer;
        const seal = answer.headers["server-seal"];
        let bytes = 0;
        answer.on("data", (part) => bytes += part.length);
        answer.on("error", () => undefined);
        answer.on(
          "close",
          () => resolve({ status, seal, bytes, isWhole: answer.complete }),
        );
      },
    );
    outgoing.on("error", () => resolve({ status: 0 }));
    outgoing.end("a clip");
  });
}
