package org.clementinepost.node.configuration;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;
import org.clementinepost.storage.rows.OperatorChangePage;

/** A message to the configuration service. */
public sealed interface ConfigurationMessage {
  /**
   * Subscribes to the active configuration.
   *
   * @param listener receives the current snapshot at once and then each new one
   * @param confirmationListener receives a confirmation each time that the current snapshot is
   *     known to be the newest
   */
  record Subscribe(Reply<Snapshot> listener, Reply<Confirmation> confirmationListener)
      implements ConfigurationMessage {
    /** Subscribes to snapshots without confirmations. */
    public Subscribe(Reply<Snapshot> listener) {
      this(listener, Reply.ignored());
    }
  }

  /**
   * A read of the operators' changes has succeeded or failed.
   *
   * @param requestNanos when the request was sent
   */
  record OperatorChangesRead(long requestNanos, Either<Failure, OperatorChangePage> page)
      implements ConfigurationMessage {}

  /** The configuration is to be read again. */
  record Poll() implements ConfigurationMessage {}

  /** Loading a snapshot from the platform has succeeded or failed. */
  record SnapshotLoaded(Either<Failure, Snapshot> result) implements ConfigurationMessage {}
}
