package org.clementinepost.node.configuration;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;

/** What the configuration service is told. */
public sealed interface ConfigurationMessage {
  /** Asks for every snapshot that comes into force, the one in force first. */
  record Subscribe(Reply<Snapshot> listener) implements ConfigurationMessage {}

  /** It is time to ask the platform. */
  record Poll() implements ConfigurationMessage {}

  /** The platform has given a snapshot, or has not. */
  record Loaded(Either<Failure, Snapshot> snapshot) implements ConfigurationMessage {}
}
