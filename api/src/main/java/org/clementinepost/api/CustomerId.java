package org.clementinepost.api;

import java.util.Objects;

/** The name of a customer, to which API keys, a rate and a burst are granted. */
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
