package org.clementinepost.node.announce;

import io.vavr.control.Option;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.policy.host.Announcement;

/** A message to {@link StartupHealthCheckService}. */
public sealed interface StartupHealthCheckMessage {
  /** A new configuration has taken effect. */
  record Configured(Snapshot snapshot) implements StartupHealthCheckMessage {}

  /** A backend server has announced itself. */
  record Announced() implements StartupHealthCheckMessage {}

  /** The delay before the next health check has passed. */
  record Retry() implements StartupHealthCheckMessage {}

  /**
   * A health check has ended.
   *
   * @param discovered the backend server as its response describes it; none if the check failed or
   *     the server does not accept requests
   */
  record CheckCompleted(Option<Announcement> discovered) implements StartupHealthCheckMessage {}
}
