/** gRPC server for peers' messages and operators' calls. */
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

/** Header with the peers' shared secret. */
export const SECRET_HEADER = "x-otterhill-peer";

/** Options of {@link createPeerServer}. */
export type PeerServerOptions = {
  push(event: Event): void;
  control(request: ControlRequest): Promise<ControlReply>;
  readonly secret: string;
};

/** Creates the server without binding it. */
export function createPeerServer(options: PeerServerOptions): Server {
  const server = new Server();
  server.addService(peerService, {
    deliver: (
      call: ServerUnaryCall<Envelope, Receipt>,
      done: sendUnaryData<Receipt>,
    ) => deliver(options, call, done),
    control: (
      call: ServerUnaryCall<ControlRequest, ControlReply>,
      done: sendUnaryData<ControlReply>,
    ) => {
      options.control(call.request).then(
        (reply) => done(null, reply),
        (error: unknown) =>
          done({ code: status.INTERNAL, details: String(error) }),
      );
    },
  });
  return server;
}

function deliver(
  options: PeerServerOptions,
  call: ServerUnaryCall<Envelope, Receipt>,
  done: sendUnaryData<Receipt>,
): void {
  const [receivedSecret] = call.metadata.get(SECRET_HEADER);
  if (receivedSecret !== options.secret) {
    return done({
      code: status.UNAUTHENTICATED,
      details: "Wrong secret",
    });
  }
  const { from, incarnation, messages } = call.request;
  for (const message of messages) {
    options.push({ type: "peerMessage", from, incarnation, message });
  }
  done(null, {});
}

/** Binds the server to an address and returns the port. */
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
