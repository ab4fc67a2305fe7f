package org.clementinepost.api;

import java.util.Objects;

/** Names a customer, the holder of keys, rates and bursts. */
public record CustomerId(String value) implements Comparable<CustomerId> {
  public CustomerId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
