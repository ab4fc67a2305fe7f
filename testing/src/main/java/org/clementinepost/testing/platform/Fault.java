package org.clementinepost.testing.platform;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.List;
import java.util.Objects;

/**
 * A fault to inject, and the body of {@code POST /control}.
 *
 * @param mode how the platform fails
 * @param delayMillis how much later it acts when slow
 * @param count how many requests fail; zero for all until the next order
 * @param operations the operations that fail; none named means all
 */
public record Fault(FaultMode mode, long delayMillis, int count, List<OperationKind> operations) {
  public Fault {
    Objects.requireNonNull(mode, "mode");
    operations = operations == null ? List.of() : List.copyOf(operations);
  }

  /** A fault that meets every request. */
  public static Fault of(FaultMode mode) {
    return new Fault(mode, 0, 0, List.of());
  }

  /** A fault that meets the next requests of some kinds. */
  public static Fault forNextRequests(FaultMode mode, int count, OperationKind... operations) {
    return new Fault(mode, 0, count, List.of(operations));
  }

  /** Whether the fault meets a request. */
  boolean affects(OperationKind operation) {
    Set<OperationKind> named = HashSet.ofAll(operations);
    return mode != FaultMode.NONE && (named.isEmpty() || named.contains(operation));
  }

  /** The fault that is left after it has met one request. */
  Fault afterRequest() {
    if (count == 0) {
      return this;
    }
    return count == 1 ? of(FaultMode.NONE) : new Fault(mode, delayMillis, count - 1, operations);
  }
}
