package org.clementinepost.api;

import java.util.Objects;

/** Names one node of the fleet; a restarted node keeps its name and takes a new incarnation. */
public record NodeId(String value) implements Comparable<NodeId> {
  public NodeId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public int compareTo(NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
