package org.clementinepost.policy.quota;

import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.QuotaMessage;

/** What the decision of a home asks for. */
public sealed interface HomeEffect {
  /** Answers a holder. */
  record Answer(NodeId to, QuotaMessage message) implements HomeEffect {}
}
