package org.clementinepost.node.configuration;

import io.vavr.control.Option;
import org.clementinepost.api.config.Snapshot;

/**
 * A confirmation that the active configuration was the newest one at a given time.
 *
 * @param atNanos the time, by a clock that advances while the VM is suspended
 * @param olderCopy an older configuration that the store holds in place of the active one, since it
 *     has come back from an older copy
 */
public record Confirmation(long atNanos, Option<Snapshot> olderCopy) {
  /** Creates a confirmation by a store that holds the active configuration. */
  public Confirmation(long atNanos) {
    this(atNanos, Option.none());
  }

  /** Returns the later one of two confirmations. */
  public Confirmation orLater(Confirmation other) {
    return other.atNanos > atNanos ? other : this;
  }

  /** Returns a confirmation that is older than any real one. */
  public static Confirmation never() {
    return new Confirmation(Long.MIN_VALUE / 2);
  }
}
