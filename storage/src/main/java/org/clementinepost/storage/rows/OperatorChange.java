package org.clementinepost.storage.rows;

import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.config.Snapshot;

/**
 * Change made by operators: a published configuration, or a failure domain taken out of service or
 * restored.
 */
public sealed interface OperatorChange {
  /** A configuration has been published. */
  record ConfigurationPublished(Snapshot snapshot) implements OperatorChange {}

  /** A failure domain has been taken out of service. */
  record DomainTakenOut(FailureDomainId domain) implements OperatorChange {}

  /** A failure domain has been put back into service. */
  record DomainRestored(FailureDomainId domain) implements OperatorChange {}

  /** A change that cannot be decoded; the previous state stays in force. */
  record Unreadable(String key, Failure failure) implements OperatorChange {}
}
