// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Replays the load in which refused callers were refused again and again: four servers
 * of 8 slots with room for 160 requests a second, a quiet workspace of 40 requests a
 * second, and one that rises from 40 to 320 a second for 8 s. With random retry times
 * of 0.2 to 0.6 s, 84 to 89% of those who came back as told were refused again.
 */
import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "rampswitch-utils";
import { Fingerprint } from "../quarantine/mod.ts";
import type { RequestFingerprint, ReservationUpdate } from "./reservations.ts";
import { ReturnTimes } from "./return_times.ts";
import {
  AdmissionFleet,
  type FleetHost,
  type FleetLoad,
  type FleetRequest,
} from "./room_fleet_standin.ts";
import type { ClassRoom } from "./room_admission.ts";
import { WaitingRequests } from "./waiting_requests.ts";

const BURST = { from: 4_000, until: 12_000 };
const TIME_LIMIT = 3_000;
const LAG = 250;
const MESSAGE_INTERVAL = 100;

/** A caller who was told to return. */
interface Returning {
  readonly at: number;
  readonly request: FleetRequest;
  readonly fingerprint: RequestFingerprint;
  /** Host that promised room. */
  readonly promisedBy: FleetHost;
}

interface Message {
  readonly at: number;
  readonly from: FleetHost;
  readonly updates: readonly ReservationUpdate[];
}

function load(workspace: string, perSecond: (now: number) => number) {
  return {
    roomClass: {
      service: "models",
      workspaceRank: 1,
      routeRank: 0,
      workspace,
    },
    perSecond,
  } satisfies FleetLoad;
}

const LOADS = [
  load("quiet", () => 40),
  load("burst", (now) => (now >= BURST.from && now < BURST.until ? 320 : 40)),
];

/** The fleet, with callers who return once as they were told. */
class ReplayedFleet {
  readonly fleet: AdmissionFleet;
  readonly refused = { first: 0, reserved: 0 };
  /** `lost` and `keptOfLost`: the host that promised room is gone. */
  readonly returned = { kept: 0, again: 0, lost: 0, keptOfLost: 0 };
  readonly waited = { sent: 0, refused: 0 };
  readonly #times = new Map<FleetHost, ReturnTimes>();
  readonly #waiting = new Map<FleetHost, WaitingRequests>();
  readonly #clock = new ManualClock();
  #returning: Returning[] = [];
  #messages: Message[] = [];
  #arrivals = 0;

  constructor(hosts: number, seed: number) {
    this.fleet = new AdmissionFleet({
      hosts,
      seed,
      loads: LOADS,
      decideArrival: (host, request) => this.#arrive(host, request),
      onTick: () => this.#tick(),
    });
    this.fleet.hosts.forEach((host) => {
      const times = new ReturnTimes(
        {
          hosts: () => hosts,
          lagMilliseconds: () => LAG,
          draw: () => this.fleet.random.next(),
        },
        {
          kept: () => undefined,
          refused: () => undefined,
          lapsed: () => undefined,
        },
      );
      this.#times.set(host, times);
      const waiting = new WaitingRequests(this.#clock, {
        roomOf: (request, now) => host.admission.roomOf(request, now),
        take: (request, now) =>
          host.admission.decideWaiting(request, now).kind === "admitted",
        waited: () => undefined,
      });
      this.#waiting.set(host, waiting);
      host.admission.setReservations({
        dueWork: (roomClass, until) =>
          times.dueWork(roomClass, until, this.fleet.now),
      });
    });
  }

  /** Runs the burst; a host is lost within it, if asked for. */
  run(lostAt = Infinity): this {
    this.fleet.runUntil(BURST.from);
    this.fleet.measure();
    if (lostAt < BURST.until) {
      this.fleet.runUntil(lostAt);
      const [lost] = this.fleet.hosts;
      if (lost !== undefined) lost.isUp = false;
    }
    this.fleet.runUntil(BURST.until);
    return this;
  }

  #timesOf(host: FleetHost): ReturnTimes {
    const times = this.#times.get(host);
    if (times === undefined) throw new Error("the host is not known");
    return times;
  }

  #arrive(host: FleetHost, request: FleetRequest): boolean {
    this.#arrivals += 1;
    const fingerprint = new Fingerprint({
      method: "POST",
      hostName: "models.example",
      target: "/v1/answers",
      workspace: request.roomClass.workspace,
      body: Buffer.from(`${this.#arrivals}`),
    });
    return this.#decide(host, { request, fingerprint }, TIME_LIMIT);
  }

  #decide(
    host: FleetHost,
    caller: Pick<Returning, "request" | "fingerprint">,
    leftMilliseconds: number,
  ): boolean {
    const { now } = this.fleet;
    const { request, fingerprint } = caller;
    const { roomClass } = request;
    const room = this.fleet.roomRequestOf(host, request);
    const times = this.#timesOf(host);
    const returned = { roomClass, fingerprint };
    if (times.claim(returned, () => host.admission.roomOf(room, now), now)) {
      host.admission.admitReturned(room, now);
      return true;
    }
    this.#waiting.get(host)?.examine();
    const decision = host.admission.decide(room, now);
    if (decision.kind === "admitted") return true;
    const refused = { ...caller, promisedBy: host };
    const place = this.#waiting.get(host)?.add({
      arrivedAt: now,
      endsAt: now + leftMilliseconds,
      bytes: 1_000,
      room: () => room,
      send: () => {
        this.waited.sent += 1;
        this.fleet.send(host, request);
      },
      refuse: () => {
        this.waited.refused += 1;
        const later = host.admission.roomOf(room, this.fleet.now);
        this.#refuse(refused, later, request.arrivedAt + TIME_LIMIT);
      },
    });
    if (place === undefined) {
      this.#refuse(refused, decision.room, now + leftMilliseconds);
    }
    return false;
  }

  #refuse(
    caller: Omit<Returning, "at">,
    room: ClassRoom,
    endsAt: number,
  ): void {
    const { now } = this.fleet;
    const { request, fingerprint, promisedBy } = caller;
    this.refused.first += 1;
    const told = this.#timesOf(promisedBy).assign(
      {
        roomClass: request.roomClass,
        fingerprint,
        leftMilliseconds: endsAt - now,
        serviceRate: this.fleet.slots / this.fleet.hosts.length,
      },
      room,
      now,
    );
    if (!told.reserved) return;
    this.refused.reserved += 1;
    this.#returning.push({ ...caller, at: now + told.delayMilliseconds });
  }

  #tick(): void {
    const { now, hosts, random } = this.fleet;
    this.#clock.advance(now - this.#clock.now());
    const delivered = this.#messages.filter(({ at }) => at <= now);
    this.#messages = this.#messages.filter(({ at }) => at > now);
    delivered.forEach(({ from, updates }) =>
      hosts
        .filter((host) => host !== from && host.isUp)
        .forEach((host) =>
          this.#timesOf(host).reservations.receive(updates, { age: LAG, now }),
        ),
    );
    const due = this.#returning.filter(({ at }) => at <= now);
    this.#returning = this.#returning.filter(({ at }) => at > now);
    due.forEach((caller) => {
      const up = hosts.filter(({ isUp }) => isUp);
      const host = up[random.below(up.length)];
      if (host === undefined) return;
      const left = TIME_LIMIT - (now - caller.request.arrivedAt);
      // Callers return once.
      const before = this.#returning.length;
      if (this.#decide(host, caller, left)) {
        if (caller.promisedBy.isUp) this.returned.kept += 1;
        else this.returned.keptOfLost += 1;
        this.fleet.send(host, caller.request);
      } else if (caller.promisedBy.isUp) this.returned.again += 1;
      else this.returned.lost += 1;
      this.#returning.length = before;
    });
    if (now % MESSAGE_INTERVAL !== 0) return;
    hosts
      .filter(({ isUp }) => isUp)
      .forEach((from) => {
        const updates = this.#timesOf(from).reservations.updates(now);
        this.#messages.push({ at: now + LAG, from, updates });
      });
  }
}

const RUNS = [1, 6].flatMap((hosts) =>
  [1, 2, 3].map((seed) => ({ hosts, seed })),
);

describe("callers who return as they were told", () => {
  test.each(RUNS)("are not refused again: %o", ({ hosts, seed }) => {
    const { fleet, returned, waited } = new ReplayedFleet(hosts, seed).run();
    expect(returned.kept).toBeGreaterThan(400);
    expect(returned.again).toBe(0);
    expect(waited.refused).toBeLessThan(0.02 * waited.sent);
    expect(fleet.usedShare).toBeGreaterThan(0.95);
    const { offered, admitted } = fleet.outcome("quiet");
    expect(admitted / offered).toBeGreaterThan(0.95);
  });

  test("are refused again only if their host is lost before it told others", () => {
    const { returned } = new ReplayedFleet(6, 4).run(8_000);
    expect(returned.again).toBe(0);
    // Its reservations of the time between two messages, at ten a second.
    expect(returned.lost).toBeLessThan(10);
    expect(returned.keptOfLost).toBeGreaterThan(0);
  });
});
