package org.clementinepost.node.configuration;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;
import org.clementinepost.storage.rows.OperatorChangePage;

/** What the configuration service is told. */
public sealed interface ConfigurationMessage {
  /**
   * Asks for every snapshot that comes into force, the one in force first.
   *
   * @param listener takes the snapshots
   * @param confirmed is told each time when the one in force was confirmed to be the newest
   */
  record Subscribe(Reply<Snapshot> listener, Reply<Confirmation> confirmed)
      implements ConfigurationMessage {
    /** Asks for snapshots alone. */
    public Subscribe(Reply<Snapshot> listener) {
      this(listener, Reply.ignored());
    }
  }

  /**
   * Operators' orders have been read, or have not.
   *
   * @param askedNanos when they were asked for
   */
  record Read(long askedNanos, Either<Failure, OperatorChangePage> page)
      implements ConfigurationMessage {}

  /** It is time to ask the platform. */
  record Poll() implements ConfigurationMessage {}

  /** The platform has given a snapshot, or has not. */
  record Loaded(Either<Failure, Snapshot> snapshot) implements ConfigurationMessage {}
}
