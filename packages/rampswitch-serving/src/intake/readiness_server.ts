// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Answers the load balancer's checks whether this host accepts new connections.
 *
 * @module
 */
import { createServer } from "node:http";
import { listen, type Listening } from "rampswitch-utils";

/** Serves readiness on a path: 200 if ready, 503 if not, and 404 on other paths. */
export function serveReadiness(
  address: string,
  options: { readonly path: string; readonly ready: () => boolean },
): Promise<Listening> {
  const server = createServer((request, response) => {
    const known = request.url === options.path;
    const status = known ? (options.ready() ? READY : NOT_READY) : NOT_FOUND;
    response.writeHead(status, { "content-length": 0 }).end();
  });
  return listen(server, address);
}

const READY = 200;
const NOT_READY = 503;
const NOT_FOUND = 404;
