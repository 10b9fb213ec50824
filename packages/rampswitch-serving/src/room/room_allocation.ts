// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Divides the room of a service among its classes. All hosts compute the same result
 * from the same counts. Pure.
 *
 * @module
 */

/** Demand of one class. Demand and room are in slots: slot milliseconds a millisecond. */
export interface ClassDemand {
  /** Rank as one number; 0 is the most urgent. */
  readonly rank: number;
  readonly demand: number;
}

/** What one class gets. */
export interface ClassAllocation {
  /** Room that the class gets for its measured demand. */
  readonly granted: number;
  /**
   * Room that it may use if its demand rises before it is measured again; the same as
   * `granted` for a class whose demand is not met.
   */
  readonly ceiling: number;
}

/**
 * Share of the overall share that each class gets whatever its rank. No workspace and
 * no kind of request may be served less than a quarter as often as requests overall;
 * the rest allows for measurement errors.
 */
const FLOOR_SHARE = 0.3;

/** Maximum ceiling of a class whose demand is met, as a multiple of its demand. */
const CEILING_RATIO = 2;

/**
 * Allocates room to classes: first the floors, then the rest by rank. Within a rank the
 * rest is divided by max-min fairness. The results are in the order of the classes.
 */
export function allocateRoom(
  classes: readonly ClassDemand[],
  room: number,
): readonly ClassAllocation[] {
  const available = Math.max(0, room);
  const total = classes.reduce((sum, { demand }) => sum + demand, 0);
  const share = total > available ? available / total : 1;
  const floors = classes.map(({ demand }) => FLOOR_SHARE * share * demand);
  let left = available - floors.reduce((sum, floor) => sum + floor, 0);
  const results: ClassAllocation[] = [];
  indexesByRank(classes).forEach((indexes) => {
    const members = indexes.map((index) => ({
      index,
      demand: classes[index]?.demand ?? 0,
      floor: floors[index] ?? 0,
    }));
    const level = fairLevel(members, left);
    let used = 0;
    members.forEach(({ index, demand, floor }) => {
      const granted = Math.max(floor, Math.min(demand, level));
      used += granted - floor;
      results[index] = { granted, ceiling: granted };
    });
    left = Math.max(0, left - used);
    members.forEach(({ index, demand }) => {
      const { granted = 0 } = results[index] ?? {};
      if (granted < demand) return;
      const reach = level === Infinity ? demand + left : level;
      const ceiling = Math.min(reach, CEILING_RATIO * demand);
      results[index] = { granted, ceiling: Math.max(granted, ceiling) };
    });
  });
  return results;
}

interface RankMember {
  readonly demand: number;
  readonly floor: number;
}

/**
 * Level up to which the demand of each member is met, so that together they use the
 * given room beyond their floors; infinite if all demand is met.
 */
function fairLevel(members: readonly RankMember[], room: number): number {
  const missing = members.reduce(
    (sum, { demand, floor }) => sum + demand - floor,
    0,
  );
  if (missing <= room) return Infinity;
  // Between two bounds, the room that is used rises linearly with the level.
  const bounds = members
    .flatMap(({ demand, floor }) => [
      { at: floor, slope: 1 },
      { at: demand, slope: -1 },
    ])
    .toSorted((left, right) => left.at - right.at);
  let level = 0;
  let slope = 0;
  let left = room;
  for (const bound of bounds) {
    const needed = slope * (bound.at - level);
    if (needed > left) return level + left / slope;
    left -= needed;
    level = bound.at;
    slope += bound.slope;
  }
  return Infinity;
}

/** Indexes of the classes of each rank, the most urgent rank first. */
function indexesByRank(
  classes: readonly ClassDemand[],
): readonly (readonly number[])[] {
  const byRank = new Map<number, number[]>();
  classes.forEach(({ rank }, index) => {
    const indexes = byRank.get(rank);
    if (indexes === undefined) byRank.set(rank, [index]);
    else indexes.push(index);
  });
  return [...byRank]
    .toSorted(([left], [right]) => left - right)
    .map(([, indexes]) => indexes);
}
