// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Counters and latency histograms, served as text for scraping.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import {
  BoundedServer,
  type IntakeBudgets,
  listen,
  type Listening,
} from "rampswitch-utils";
import type { AnswerFraming, EndDoubt } from "../attempt/answer_end.ts";

/** Buckets of the latency histograms, around the usual targets. */
const LATENCY_BUCKETS_SECONDS = [
  0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8, 15,
];

/** The part of the process's descriptors that scrapers may take. */
const DESCRIPTOR_SHARE = 1 / 32;

/** Maximum size of the head of a scraper's request, in bytes. */
const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** What a host handles of its neighbours. */
export type InputKind =
  "start" | "request" | "answer" | "stored object" | "message of a peer";

/** The metrics of one host. */
export class ServingMetrics {
  readonly #registry = new Registry();
  readonly #outcomes = this.#counter("requests_total", "Requests by outcome", [
    "outcome",
  ]);
  readonly #resends = this.#counter("resends_total", "Repeated sends", [
    "service",
    "reason",
  ]);
  readonly #notRepeated = this.#counter(
    "not_repeated_total",
    "Further sends that were wanted and not made",
    ["why"],
  );
  readonly #answerEnds = this.#counter(
    "answer_ends_total",
    "Ends of servers' answers by framing, and those that prove nothing by reason",
    ["end"],
  );
  readonly #events = this.#counter("events_total", "Events by name", ["event"]);
  readonly #droppedLines = this.#counter(
    "log_lines_dropped_total",
    "Log lines that were never written",
    ["reason"],
  );
  readonly #droppedBytes = this.#counter(
    "log_bytes_dropped_total",
    "Bytes of log lines that were never written",
    ["reason"],
  );
  readonly #failedWrites = this.#counter(
    "log_write_failures_total",
    "Writes of log lines that failed; they are tried again",
    ["code"],
  );
  readonly #roomAdmitted = this.#counter(
    "room_admitted_total",
    "Requests admitted while capacity was short",
    ["rank"],
  );
  readonly #roomRefused = this.#counter(
    "room_refused_total",
    "Requests refused because capacity was short",
    ["rank"],
  );
  readonly #roomWaited = this.#counter(
    "room_waited_total",
    "Requests that waited at the host while capacity was short",
    ["rank"],
  );
  readonly #returnKept = this.#counter(
    "return_kept_total",
    "Refused callers that returned as told and were admitted",
    ["rank"],
  );
  readonly #returnRefused = this.#counter(
    "return_refused_total",
    "Refused callers that returned as told when room had shrunk",
    ["rank"],
  );
  readonly #returnLapsed = this.#counter(
    "return_lapsed_total",
    "Refused callers that did not return as told",
    ["rank"],
  );
  readonly #answersCutOff = this.#counter(
    "answers_cut_off_total",
    "Answers that this host ended after a part of them was sent",
    ["why"],
  );
  readonly #loopDelay = this.#histogram(
    "event_loop_delay_seconds",
    "Time for which the event loop stood still",
  );
  #inputKind: InputKind = "start";
  #inputName = "";
  readonly #gauges = new Map<string, Gauge>();
  readonly #serverGauges = new Map<string, Gauge<"server">>();
  readonly #firstPart = this.#histogram(
    "first_part_seconds",
    "Time from a request to the first part of its answer",
  );
  readonly #answer = this.#histogram(
    "answer_seconds",
    "Time from a request to the end of its answer",
  );

  /** Names the input of a neighbour that is being handled. */
  input(kind: InputKind, name = ""): void {
    this.#inputKind = kind;
    this.#inputName = name;
  }

  /** The input that was handled last. */
  get latestInput(): string {
    return `${this.#inputKind} ${this.#inputName}`.trim();
  }

  /** Records for how long the event loop stood still. */
  loopDelay(milliseconds: number): void {
    this.#loopDelay.observe(milliseconds / 1_000);
  }

  /** Counts the end of a request. */
  outcome(outcome: string): void {
    this.#outcomes.inc({ outcome });
  }

  /** Counts a resend. */
  resend(service: string, reason: string): void {
    this.#resends.inc({ service, reason });
  }

  /** Counts a resend that was wanted but not made. */
  notRepeated(why: string): void {
    this.#notRepeated.inc({ why });
  }

  /** Counts a request that was admitted while capacity was short. */
  roomAdmitted(rank: string): void {
    this.#roomAdmitted.inc({ rank });
  }

  /** Counts a request that was refused because capacity was short. */
  roomRefused(rank: string): void {
    this.#roomRefused.inc({ rank });
  }

  /** Counts a request that waits at the host while capacity is short. */
  roomWaited(rank: string): void {
    this.#roomWaited.inc({ rank });
  }

  /** Counts a refused caller that returned as told and was admitted. */
  returnKept(rank: string): void {
    this.#returnKept.inc({ rank });
  }

  /** Counts a refused caller that returned as told and was refused again. */
  returnRefused(rank: string): void {
    this.#returnRefused.inc({ rank });
  }

  /** Counts a refused caller that did not return as told. */
  returnLapsed(rank: string): void {
    this.#returnLapsed.inc({ rank });
  }

  /** Counts the end of a server's answer. */
  answerEnd(end: AnswerFraming | EndDoubt): void {
    this.#answerEnds.inc({ end });
  }

  /** Counts an answer that this host ended after a part of it was sent. */
  answerCutOff(why: string): void {
    this.#answersCutOff.inc({ why });
  }

  /** Counts an event. */
  event(event: string): void {
    this.#events.inc({ event });
  }

  /** Counts log lines that were lost. */
  logLinesLost(
    reason: string,
    lost: { readonly lines: number; readonly bytes: number },
  ): void {
    this.#droppedLines.inc({ reason }, lost.lines);
    this.#droppedBytes.inc({ reason }, lost.bytes);
  }

  /** Counts a failed write of log lines. */
  logWriteFailed(code: string): void {
    this.#failedWrites.inc({ code });
  }

  /** Sets a gauge. */
  gauge(name: string, value: number): void {
    const gauge =
      this.#gauges.get(name) ??
      new Gauge({
        name: `rampswitch_${name}`,
        help: name,
        registers: [this.#registry],
      });
    this.#gauges.set(name, gauge);
    gauge.set(value);
  }

  /** Sets a gauge by server; servers without a value are removed from it. */
  gaugeByServer(name: string, values: ReadonlyMap<string, number>): void {
    const gauge =
      this.#serverGauges.get(name) ??
      new Gauge({
        name: `rampswitch_${name}`,
        help: name,
        labelNames: ["server"],
        registers: [this.#registry],
      });
    this.#serverGauges.set(name, gauge);
    gauge.reset();
    values.forEach((value, server) => gauge.set({ server }, value));
  }

  /** Records the time to the first part of an answer. */
  firstPartTime(milliseconds: number): void {
    this.#firstPart.observe(milliseconds / 1_000);
  }

  /** Records the time to the end of an answer. */
  answerTime(milliseconds: number): void {
    this.#answer.observe(milliseconds / 1_000);
  }

  /** All metrics in the text format of Prometheus. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Serves the text on an address and path. */
  serve(
    address: string,
    options: { readonly metricsPath: string; readonly intake: IntakeBudgets },
  ): Promise<Listening> {
    const server = new BoundedServer(
      {
        budgets: options.intake,
        connectionShare: DESCRIPTOR_SHARE,
        headerBytes: () => MAXIMUM_HEADER_BYTES,
      },
      {
        request: (request, response) => {
          if (request.url === options.metricsPath)
            this.#answerScraper(response);
          else response.writeHead(404).end();
        },
      },
    );
    return listen(server.http, address);
  }

  #answerScraper(response: ServerResponse): void {
    this.text().then(
      (text) =>
        response.writeHead(200, { "content-type": "text/plain" }).end(text),
      (error) => response.writeHead(500).end(String(error)),
    );
  }

  #counter<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[],
  ): Counter<Label> {
    return new Counter({
      name: `rampswitch_${name}`,
      help,
      labelNames: [...labelNames],
      registers: [this.#registry],
    });
  }

  #histogram(name: string, help: string): Histogram {
    return new Histogram({
      name: `rampswitch_${name}`,
      help,
      buckets: LATENCY_BUCKETS_SECONDS,
      registers: [this.#registry],
    });
  }
}
