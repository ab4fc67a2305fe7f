package org.clementinepost.node.announce;

import io.vavr.control.Option;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.policy.host.Announcement;

/** What the first look is told. */
public sealed interface FirstLookMessage {
  /** A configuration has come into force. */
  record Configured(Snapshot snapshot) implements FirstLookMessage {}

  /** A backend server has announced itself. */
  record Announced() implements FirstLookMessage {}

  /** It is time to look again. */
  record Look() implements FirstLookMessage {}

  /** The backend server has told of its health, or has not. */
  record Seen(Option<Announcement> found) implements FirstLookMessage {}
}
