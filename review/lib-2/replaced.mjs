// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/** Machines that were replaced in the past of a deployment. */
import { STORE } from "../../platform/dist/names.js";
import { allReady, until } from "./hosts.mjs";

/** Number of the first of them; the machines that stay have lower ones. */
const FIRST = 100;

/**
 * Starts machines, some at once, and removes each for good once it is ready and known to
 * the store. `start` starts a machine by its number.
 */
export async function replaceMachines(count, atOnce, { start, store, record }) {
  for (let done = 0; done < count; done += atOnce) {
    const batch = Array.from(
      { length: Math.min(atOnce, count - done) },
      (_, at) => start(FIRST + done + at),
    );
    await allReady(batch);
    const isKnown = ({ name }) =>
      store.read(STORE.hostsPrefix.slice(0, -1), name) !== undefined;
    await until(() => batch.every(isKnown), 5_000);
    batch.forEach((host) => host.signal("SIGKILL"));
    await Promise.all(batch.map((host) => host.ended));
    record.note(`${batch.length} machines were ready and are removed for good`);
  }
}
