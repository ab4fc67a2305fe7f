package org.clementinepost.api;

import java.util.Objects;

/** Names one caller's request on its whole way through the fleet. */
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
