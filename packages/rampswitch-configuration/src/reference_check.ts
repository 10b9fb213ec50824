// Copyright 2026 the rampswitch authors. Apache-2.0 license.

/**
 * Checks that resources refer only to resources that exist.
 *
 * @module
 */
import type { Resource, ResourceKind } from "rampswitch-types";
import { resourceKey, selectorMatches } from "rampswitch-types";
import {
  type ConfigurationState,
  type Edit,
  resourcesOf,
} from "./configuration_state.ts";

type ReferenceCheck = (
  resource: Resource,
  state: ConfigurationState,
) => readonly string[];

/** Invalid references after a change; one line for each. */
export function referenceProblems(
  state: ConfigurationState,
  edits: readonly Edit[],
): readonly string[] {
  return edits.flatMap((edit) =>
    edit.kind === "put"
      ? REFERENCE_CHECKS[edit.resource.kind](edit.resource, state)
      : deletionProblems(edit, state),
  );
}

const REFERENCE_CHECKS: Readonly<Record<ResourceKind, ReferenceCheck>> = {
  Service: () => [],
  BackendServer: (resource, state) =>
    resource.kind !== "BackendServer" ||
    state.resources.has(
      resourceKey({ kind: "Service", name: resource.service }),
    )
      ? []
      : [
          `BackendServer/${resource.name}: service ${resource.service}, ` +
            "expected the name of a Service",
        ],
  RoutingRule: (resource, state) =>
    resource.kind !== "RoutingRule" ||
    resource.targets.every(
      ({ selector }) =>
        resourcesOf(state, "BackendServer").length === 0 ||
        resourcesOf(state, "BackendServer").some(({ labels }) =>
          selectorMatches(selector, labels),
        ),
    )
      ? []
      : [
          `RoutingRule/${resource.name}: a target matches no BackendServer, ` +
            "expected a selector that matches at least one",
        ],
  Workspace: () => [],
  HostClass: () => [],
};

function deletionProblems(
  edit: Extract<Edit, { readonly kind: "delete" }>,
  state: ConfigurationState,
): readonly string[] {
  if (edit.resourceKind !== "Service") return [];
  return resourcesOf(state, "BackendServer")
    .filter(({ service }) => service === edit.name)
    .map(
      ({ name }) =>
        `Service/${edit.name}: BackendServer/${name} names it, ` +
        "expected no such backend server",
    );
}
