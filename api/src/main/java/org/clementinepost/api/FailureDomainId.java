package org.clementinepost.api;

import java.util.Objects;

/** Names a failure domain, a part of a region that fails as one. */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
  public FailureDomainId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public int compareTo(FailureDomainId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
