package org.clementinepost.api;

import java.util.Objects;

/** The name of a backend server. */
public record BackendServerId(String value) implements Comparable<BackendServerId> {
  public BackendServerId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public int compareTo(BackendServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
