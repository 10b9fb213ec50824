// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Answers the load balancer's checks whether this host accepts new connections.
 *
 * @module
 */
import {
  BoundedServer,
  type IntakeBudgets,
  listen,
  type Listening,
} from "rampswitch-utils";

/** The part of the process's descriptors that checks may take. */
const DESCRIPTOR_SHARE = 1 / 32;

/** Maximum size of the head of a check, in bytes. */
const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** Serves readiness on a path: 200 if ready, 503 if not, and 404 on other paths. */
export function serveReadiness(
  address: string,
  options: {
    readonly path: string;
    readonly ready: () => boolean;
    readonly budgets: IntakeBudgets;
  },
): Promise<Listening> {
  const server = new BoundedServer(
    {
      budgets: options.budgets,
      connectionShare: DESCRIPTOR_SHARE,
      headerBytes: () => MAXIMUM_HEADER_BYTES,
    },
    {
      request: (request, response) => {
        const known = request.url === options.path;
        const status = known
          ? options.ready()
            ? READY
            : NOT_READY
          : NOT_FOUND;
        response.writeHead(status, { "content-length": 0 }).end();
      },
    },
  );
  return listen(server.http, address);
}

const READY = 200;
const NOT_READY = 503;
const NOT_FOUND = 404;
