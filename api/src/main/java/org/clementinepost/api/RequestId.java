package org.clementinepost.api;

import java.util.Objects;

/** The id of a request, the same on every node that handles it. */
public record RequestId(String value) implements Comparable<RequestId> {
  public RequestId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
