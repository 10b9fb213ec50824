// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * The resources of one revision, and how deltas change them.
 *
 * @module
 */
import {
  type Resource,
  resourceKey,
  type ResourceKind,
} from "rampswitch-types";

/** A resource with the revision that last changed it. */
export interface RevisedResource {
  readonly revision: number;
  readonly resource: Resource;
}

/** All resources at one revision. */
export interface ConfigurationState {
  readonly revision: number;
  readonly resources: ReadonlyMap<string, RevisedResource>;
}

/** One edit of a change. */
export type Edit =
  | { readonly kind: "put"; readonly resource: Resource }
  | {
      readonly kind: "delete";
      readonly resourceKind: ResourceKind;
      readonly name: string;
    };

/** One accepted change. */
export interface Delta {
  readonly revision: number;
  /**
   * Chosen by the operator's program. A change whose answer was lost is sent
   * again with the same id and is applied only once.
   */
  readonly changeId: string;
  readonly operator: string;
  /** Milliseconds since the epoch, by the accepting host's clock. */
  readonly acceptedAt: number;
  readonly edits: readonly Edit[];
}

/** The configuration before the first change. */
export const EMPTY_CONFIGURATION: ConfigurationState = {
  revision: 0,
  resources: new Map(),
};

/** Key of the resource that an edit changes. */
export function editKey(edit: Edit): string {
  return edit.kind === "put"
    ? resourceKey(edit.resource)
    : resourceKey({ kind: edit.resourceKind, name: edit.name });
}

/**
 * Applies the deltas that directly follow a state's revision, in any order.
 * Deltas at or below that revision are ignored, and so are all deltas after a
 * missing revision.
 */
export function applyDeltas(
  state: ConfigurationState,
  deltas: readonly Delta[],
): ConfigurationState {
  const following = deltas
    .filter(({ revision }) => revision > state.revision)
    .toSorted((left, right) => left.revision - right.revision)
    .filter(({ revision }, index) => revision === state.revision + index + 1);
  if (following.length === 0) return state;
  const resources = new Map(state.resources);
  following.forEach((delta) =>
    delta.edits.forEach((edit) => applyEdit(resources, edit, delta.revision)),
  );
  return { revision: state.revision + following.length, resources };
}

function applyEdit(
  resources: Map<string, RevisedResource>,
  edit: Edit,
  revision: number,
): void {
  if (edit.kind === "delete") resources.delete(editKey(edit));
  else resources.set(editKey(edit), { revision, resource: edit.resource });
}

/** All resources of one kind, sorted by name. */
export function resourcesOf<Kind extends ResourceKind>(
  state: ConfigurationState,
  kind: Kind,
): readonly Extract<Resource, { readonly kind: Kind }>[] {
  return [...state.resources.values()]
    .map(({ resource }) => resource)
    .filter(
      (resource): resource is Extract<Resource, { kind: Kind }> =>
        resource.kind === kind,
    )
    .toSorted((left, right) => (left.name < right.name ? -1 : 1));
}
