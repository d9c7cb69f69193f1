/** Opens the TCP connections to replicas; tests replace it. */
import { connect, type Socket, type TcpNetConnectOpts } from "node:net";

/** Opens a connection; the socket emits "connect" once it is established. */
export type Connect = (options: TcpNetConnectOpts) => Socket;

/** Opens a connection over this host's own network path. */
export const tcpConnect: Connect = (options) => connect(options);
