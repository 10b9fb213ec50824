// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * What a process may take of its machine, and which part of it callers may take.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import { getHeapStatistics } from "node:v8";
import { MemoryBudget } from "./memory_budget.ts";
import { ReadingTurns } from "./reading_turns.ts";

const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Memory of the program and its runtime beside the heap, in bytes. */
const RUNTIME_BYTES = 64 * BYTES_PER_MEGABYTE;

/** The part of the heap that heads of requests may take. */
const HEAD_SHARE = 1 / 5;

/** The part of the memory beside heap and runtime that bodies may take. */
const BODY_SHARE = 3 / 4;

/** Least memory of bodies, in bytes. */
const MINIMUM_BODY_BYTES = 8 * BYTES_PER_MEGABYTE;

/** Descriptors where the system tells no number. */
const USUAL_DESCRIPTORS = 1_024;

/** What a process may take of its machine. */
export interface MachineLimits {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** What the connections of all listeners of a process share. */
export interface IntakeBudgets {
  /** Memory of the heads of requests. */
  readonly heads: MemoryBudget;
  /** Memory of bodies, and of answers that their callers don't read. */
  readonly bodies: MemoryBudget;
  readonly turns: ReadingTurns;
  readonly descriptors: number;
}

/** Limits that settings tell. */
export type ToldLimits = {
  readonly [Name in keyof MachineLimits]?: MachineLimits[Name] | undefined;
};

/** The limits of the machine; those that nobody told are the system's. */
export function machineLimits(told: ToldLimits = {}): MachineLimits {
  return {
    memoryBytes: told.memoryBytes ?? systemMemory(),
    descriptors: told.descriptors ?? descriptorLimit(),
  };
}

/** The parts of a machine that callers may take. */
export function intakeBudgets({
  memoryBytes,
  descriptors,
}: MachineLimits): IntakeBudgets {
  const heapBytes = getHeapStatistics().heap_size_limit;
  const besideHeap = memoryBytes - heapBytes - RUNTIME_BYTES;
  return {
    heads: new MemoryBudget(heapBytes * HEAD_SHARE),
    bodies: new MemoryBudget(
      Math.max(MINIMUM_BODY_BYTES, besideHeap * BODY_SHARE),
    ),
    turns: new ReadingTurns(),
    descriptors,
  };
}

/** Memory of the machine, or of the group of processes that this one is in. */
function systemMemory(): number {
  const constrained = process.constrainedMemory();
  return constrained > 0 ? Math.min(constrained, totalmem()) : totalmem();
}

function descriptorLimit(): number {
  try {
    const limits = readFileSync("/proc/self/limits", "utf8");
    const [, soft] = /^Max open files\s+(\d+)/m.exec(limits) ?? [];
    return soft === undefined ? USUAL_DESCRIPTORS : Number(soft);
  } catch {
    return USUAL_DESCRIPTORS;
  }
}
