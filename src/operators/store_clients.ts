/**
 * Store clients for operator tools: directly to the platform or through a host.
 */
import {
  callControl,
  type ControlTarget,
  PlatformClient,
} from "../shell/mod.ts";
import type { Store } from "./store.ts";

/** Creates a store client that calls the platform directly. */
export function platformStore(address: string, timeoutMs: number): Store {
  const client = new PlatformClient({ address, timeoutMs });
  return {
    read: async (prefix) => (await client.readRows(prefix, 0)).rows,
    write: async (changes) => {
      try {
        return await client.writeRows(changes);
      } catch {
        return { type: "lost" };
      }
    },
  };
}

/**
 * Creates a store client that calls an entry host. Reads return the settings
 * rows in force on that host; the host forwards writes to the platform.
 */
export function hostStore(target: ControlTarget): Store {
  return {
    read: async (prefix) => {
      const value = { prefix };
      const answer = await callControl(target, { $case: "rows", value });
      if (answer.$case !== "rows") {
        throw new Error("unexpected kind of control response to a rows call");
      }
      return answer.value.rows.map((row) => ({
        key: row.key,
        revision: row.version,
        value: row.value === "" ? null : row.value,
      }));
    },
    write: async (changes) => {
      const value = {
        changes: changes.map((change) => ({
          key: change.key,
          // On this protocol, an empty value removes the row.
          value: change.value === undefined ? undefined : change.value ?? "",
          ifRevision: change.ifRevision,
        })),
      };
      try {
        const answer = await callControl(target, { $case: "write", value });
        if (answer.$case !== "written") return { type: "lost" };
        const { outcome, revision, conflicts } = answer.value;
        if (outcome === "written") return { type: "written", revision };
        if (outcome === "conflict") {
          return { type: "conflict", keys: conflicts };
        }
        return { type: "lost" };
      } catch {
        return { type: "lost" };
      }
    },
  };
}
