package org.clementinepost.api;

import java.util.Objects;

/** The name of a node; a restarted node keeps its name and gets a new incarnation. */
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
