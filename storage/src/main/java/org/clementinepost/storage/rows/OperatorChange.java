package org.clementinepost.storage.rows;

import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.config.Snapshot;

/** One change that operators have made. */
public sealed interface OperatorChange {
  /** A configuration has been published. */
  record ConfigurationPublished(Snapshot snapshot) implements OperatorChange {}

  /** A failure domain is to take no work. */
  record DomainTakenOut(FailureDomainId domain) implements OperatorChange {}

  /** A failure domain is to take work again. */
  record DomainRestored(FailureDomainId domain) implements OperatorChange {}

  /** A change that cannot be read; what held before goes on holding. */
  record Unreadable(String key, Failure failure) implements OperatorChange {}
}
