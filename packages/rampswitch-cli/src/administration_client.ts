// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Client of the administration API.
 *
 * @module
 */
import { Result } from "true-myth";
import { request } from "undici";
import type { Resource } from "rampswitch-types";
import { type CommandFailure, failure } from "./command_result.ts";
import { EXIT } from "./exit_codes.ts";

const CALL_MILLISECONDS = 30_000;

/** A resource with the revision that last changed it. */
export interface ListedResource {
  readonly revision: number;
  readonly resource: Resource;
}

/** Resources at one revision. */
export interface ResourceList {
  readonly revision: number;
  readonly resources: readonly ListedResource[];
}

/** An answer of the API. */
export interface ApiAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Calls to one entry host. */
export class AdministrationClient {
  readonly #address: string;
  readonly #token: string;

  constructor(address: string, token: string) {
    this.#address = address;
    this.#token = token;
  }

  /** Reads a path. */
  get(path: string): Promise<Result<ApiAnswer, CommandFailure>> {
    return this.#call("GET", path, undefined);
  }

  /** Sends a body to a path. */
  post(
    path: string,
    body: unknown,
  ): Promise<Result<ApiAnswer, CommandFailure>> {
    return this.#call("POST", path, body);
  }

  /** Lists resources. */
  async resources(
    query: Readonly<Record<string, string>> = {},
  ): Promise<Result<ResourceList, CommandFailure>> {
    const answer = await this.get(
      `/v1/resources?${new URLSearchParams(query).toString()}`,
    );
    return answer.map(({ body }) => body as ResourceList);
  }

  async #call(
    method: "GET" | "POST",
    path: string,
    body: unknown,
  ): Promise<Result<ApiAnswer, CommandFailure>> {
    try {
      const answer = await request(`http://${this.#address}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.#token}`,
          "content-type": "application/json",
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_MILLISECONDS),
      });
      const text = await answer.body.text();
      const parsed = JSON.parse(text) as unknown;
      const problem = parsed as {
        readonly reason?: string;
        readonly detail?: string;
      };
      return problem.reason !== undefined && answer.statusCode >= 400
        ? Result.err(
            failure(EXIT.refused, `${problem.reason}: ${problem.detail ?? ""}`),
          )
        : Result.ok({ status: answer.statusCode, body: parsed });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return Result.err(
        failure(
          EXIT.unreachable,
          `address ${this.#address}: ${detail}, expected an entry host`,
        ),
      );
    }
  }
}
