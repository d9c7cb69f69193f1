/** A client that sends one request over a new connection. */
import { randomBytes } from "node:crypto";
import { request } from "node:http";

const NEW_CONNECTION_MS = 1000;

export function newAttemptId() {
  return randomBytes(8).toString("hex");
}

/**
 * Sends a request; resolves to what came back. `isWhole` is false if the answer
 * ended early.
 */
export function send(target, { method, path, headers, body, onData }) {
  return new Promise((resolve) => {
    const parts = [];
    const outgoing = request({
      ...target,
      method,
      path,
      headers: { Host: "osf.example", ...headers },
      agent: false,
    });
    const timer = setTimeout(() => outgoing.destroy(), NEW_CONNECTION_MS);
    outgoing.on("socket", (socket) => {
      socket.on("connect", () => clearTimeout(timer));
    });
    const finish = (result) => {
      clearTimeout(timer);
      resolve({ body: Buffer.concat(parts).toString("utf8"), ...result });
    };
    outgoing.on("response", (response) => {
      const { statusCode: status, headers: answered } = response;
      response.on("data", (part) => {
        parts.push(part);
        onData?.(part);
      });
      response.on("error", () => undefined);
      response.on(
        "close",
        () => finish({ status, headers: answered, isWhole: response.complete }),
      );
    });
    outgoing.on(
      "error",
      (error) => finish({ status: 0, error: error.message, isWhole: false }),
    );
    outgoing.end(body);
  });
}
