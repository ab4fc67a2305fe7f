package org.clementinepost.node.announce;

import io.vavr.control.Option;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.policy.host.Announcement;

/** What the first look is told. */
public sealed interface StartupHealthCheckMessage {
  /** A configuration has come into force. */
  record Configured(Snapshot snapshot) implements StartupHealthCheckMessage {}

  /** A backend server has announced itself. */
  record Announced() implements StartupHealthCheckMessage {}

  /** It is time to look again. */
  record Retry() implements StartupHealthCheckMessage {}

  /** The backend server has told of its health, or has not. */
  record CheckCompleted(Option<Announcement> discovered) implements StartupHealthCheckMessage {}
}
