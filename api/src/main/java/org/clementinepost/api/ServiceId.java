package org.clementinepost.api;

import java.util.Objects;

/** The name of a service, a set of backend servers that serve the same requests. */
public record ServiceId(String value) implements Comparable<ServiceId> {
  public ServiceId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
