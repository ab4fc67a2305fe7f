package org.clementinepost.policy.access;

import io.vavr.control.Option;
import org.clementinepost.api.config.Snapshot;

/**
 * The configuration in force on a node, and an older one that the store may hold in its place after
 * it has come back from an older copy.
 *
 * @param inForce the configuration in force; its version never goes back
 * @param era the store's era in which it was last read
 * @param olderCopy the older configuration that the store holds in a later era, which is empty if
 *     the store holds none; none if the store holds the configuration in force
 */
public record PublishedConfiguration(Snapshot inForce, long era, Option<Snapshot> olderCopy) {
  /** Returns the state of a node that has read no configuration. */
  public static PublishedConfiguration initial() {
    return new PublishedConfiguration(Snapshot.empty(), 0, Option.none());
  }

  /** Whether a configuration takes the place of the one in force. */
  public boolean isReplacedBy(Snapshot stored) {
    return stored.version() >= inForce.version();
  }

  /** Returns the state after the store's configuration has been read in an era of the store. */
  public PublishedConfiguration after(Snapshot stored, long storeEra) {
    if (isReplacedBy(stored)) {
      return new PublishedConfiguration(stored, storeEra, Option.none());
    }
    return storeEra > era ? new PublishedConfiguration(inForce, era, Option.some(stored)) : this;
  }
}
