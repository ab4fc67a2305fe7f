package org.clementinepost.api;

import java.util.Objects;

/** The name of a failure domain, a part of a region whose VMs may fail together. */
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
