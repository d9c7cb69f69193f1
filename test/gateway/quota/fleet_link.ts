/** Links between simulated hosts. */
import type { MemberMessage } from "../../../src/gateway/quota/messages.ts";
import type { QuotaMember } from "../../../src/gateway/quota/member.ts";
import type { QuotaOwner } from "../../../src/gateway/quota/owner.ts";
import type { Link, LinkEvents } from "../../../src/gateway/peers/link.ts";
import type { VirtualTime } from "../../fake/virtual_time.ts";
import { type Suspendable, whenRunning } from "./suspension.ts";

const LINK_DELAY_MS = 1.5;
/** Time after which an attempt to open a link fails. */
const CONNECT_TIMEOUT_MS = 400;
/** Time after which both ends close a link on which nothing arrives. */
export const LINK_TIMEOUT_MS = 1300;

/** A simulated host. */
export type Host = Suspendable & {
  readonly id: string;
  owner: QuotaOwner;
  member: QuotaMember;
  /** Number of restarts; links to an earlier generation are closed. */
  generation: number;
  isUp: boolean;
  readonly links: Set<FakeLink>;
};

/** A link of a host to an owner. */
export type FakeLink = {
  readonly from: Host;
  readonly to: Host;
  close(): void;
};

/** The network between the hosts. */
export type FakeNetwork = {
  readonly time: VirtualTime;
  reaches(from: Host, to: Host): boolean;
  /** Whether the ends of the link are on different sides of a partition. */
  isCut(): boolean;
  /** When the last partition began. */
  cutAt(): number;
};

/** Opens a link from a host to an owner. */
export function openFakeLink(
  { from, to }: { readonly from: Host; readonly to: Host },
  events: LinkEvents,
  { time, reaches, isCut, cutAt }: FakeNetwork,
): Link {
  const { generation } = to;
  const wasUp = to.isUp;
  let state: "opening" | "open" | "closed" = "opening";
  const isPassing = () => state === "open" && reaches(from, to);
  const isSameRun = () => to.isUp && to.generation === generation;
  const later = (delayMs: number, work: () => void) =>
    time.at(time.now + delayMs, work);
  const deliver = (message: unknown) =>
    whenRunning(time, from, () => events.line(JSON.stringify(message)));
  const link: FakeLink = { from, to, close };

  function close(): void {
    if (state === "closed") return;
    const wasOpen = state === "open";
    state = "closed";
    from.links.delete(link);
    to.links.delete(link);
    const removeMember = () =>
      whenRunning(time, to, () => {
        if (isSameRun()) to.owner.removeMember(from.id);
      });
    // Across a partition the owner detects the closed link by timeout only.
    const timeoutAt = Math.max(time.now, cutAt() + LINK_TIMEOUT_MS);
    if (wasOpen && isCut()) time.at(timeoutAt, removeMember);
    else if (wasOpen) removeMember();
    whenRunning(time, from, () => events.closed());
  }

  function connect(): void {
    if (state === "closed") return;
    if (!wasUp || to.generation !== generation) return close();
    if (!reaches(from, to) || to.frozenUntil > time.now) {
      return void later(CONNECT_TIMEOUT_MS, close);
    }
    state = "open";
    to.links.add(link);
    events.ready?.();
    later(0, () => deliver({ type: "hello", run: to.owner.run }));
  }

  function receive(message: MemberMessage): void {
    if (!isSameRun()) return;
    const reply = to.owner.handle(from.id, message);
    if (reply) later(LINK_DELAY_MS, () => isPassing() && deliver(reply));
  }

  from.links.add(link);
  later(wasUp ? 2 * LINK_DELAY_MS : LINK_DELAY_MS, connect);
  return {
    close,
    send: (message) =>
      void later(LINK_DELAY_MS, () => {
        if (!isPassing()) return;
        whenRunning(time, to, () => receive(message as MemberMessage));
      }),
  };
}
