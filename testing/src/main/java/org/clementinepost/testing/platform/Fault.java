package org.clementinepost.testing.platform;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import java.util.List;
import java.util.Objects;

/**
 * A fault to inject into the platform, and the body of {@code POST /control}.
 *
 * @param mode how the platform fails
 * @param delayMillis the delay before a request is executed in mode {@link FaultMode#SLOW}
 * @param count the number of requests affected; 0 for all requests until the next fault is set
 * @param operations the operations affected; all if empty
 */
public record Fault(FaultMode mode, long delayMillis, int count, List<OperationKind> operations) {
  public Fault {
    Objects.requireNonNull(mode, "mode");
    operations = operations == null ? List.of() : List.copyOf(operations);
  }

  /** Returns a fault that affects every request. */
  public static Fault of(FaultMode mode) {
    return new Fault(mode, 0, 0, List.of());
  }

  /** Returns a fault that affects the next {@code count} requests of the given kinds. */
  public static Fault forNextRequests(FaultMode mode, int count, OperationKind... operations) {
    return new Fault(mode, 0, count, List.of(operations));
  }

  /** Whether the fault affects a request of this kind. */
  boolean affects(OperationKind operation) {
    Set<OperationKind> affected = HashSet.ofAll(operations);
    return mode != FaultMode.NONE && (affected.isEmpty() || affected.contains(operation));
  }

  /** Returns the fault that remains after one request has been affected. */
  Fault afterRequest() {
    if (count == 0) {
      return this;
    }
    return count == 1 ? of(FaultMode.NONE) : new Fault(mode, delayMillis, count - 1, operations);
  }
}
