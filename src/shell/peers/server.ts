/** Receives peers' messages and operators' calls. */
import {
  type sendUnaryData,
  Server,
  type ServerCredentials,
  type ServerUnaryCall,
  status,
} from "@grpc/grpc-js";
import type { Event } from "../../core/mod.ts";
import type { ControlReply, ControlRequest } from "../../messages/control.ts";
import type { Envelope } from "../../messages/peer.ts";
import { peerService, type Receipt } from "./service.ts";

/** The header that carries the peers' shared secret. */
export const SECRET_HEADER = "x-otterhill-peer";

/** What the receiving half needs from the rest of the host. */
export type PeerServerSource = {
  push(event: Event): void;
  control(request: ControlRequest): Promise<ControlReply>;
  readonly secret: string;
};

/** Makes the server; it is not bound yet. */
export function createPeerServer(source: PeerServerSource): Server {
  const server = new Server();
  server.addService(peerService, {
    deliver: (
      call: ServerUnaryCall<Envelope, Receipt>,
      done: sendUnaryData<Receipt>,
    ) => deliver(source, call, done),
    control: (
      call: ServerUnaryCall<ControlRequest, ControlReply>,
      done: sendUnaryData<ControlReply>,
    ) => {
      source.control(call.request).then(
        (reply) => done(null, reply),
        (error: unknown) =>
          done({ code: status.INTERNAL, details: String(error) }),
      );
    },
  });
  return server;
}

function deliver(
  source: PeerServerSource,
  call: ServerUnaryCall<Envelope, Receipt>,
  done: sendUnaryData<Receipt>,
): void {
  const [given] = call.metadata.get(SECRET_HEADER);
  if (given !== source.secret) {
    return done({ code: status.UNAUTHENTICATED, details: "Wrong secret" });
  }
  const { from, incarnation, messages } = call.request;
  for (const message of messages) {
    source.push({ type: "peerMessage", from, incarnation, message });
  }
  done(null, {});
}

/** Binds the server to an address and gives the port. */
export function bindServer(
  server: Server,
  address: string,
  credentials: ServerCredentials,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, credentials, (error, port) => {
      if (error) reject(error);
      else resolve(port);
    });
  });
}
