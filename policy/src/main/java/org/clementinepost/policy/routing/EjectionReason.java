package org.clementinepost.policy.routing;

import java.util.Locale;

/** Why a backend server was ejected. */
public enum EjectionReason {
  /** Requests to the backend server fail. */
  FAILING,
  /** The backend server responds far slower than is typical of its service. */
  SLOW,
  /** No responses arrive; the fault may lie with the server or with the path to it. */
  SILENT,
  /** The host is unreachable, or responses arrive late although the server itself is fast. */
  PATH;

  /** Returns the value of the log field {@code reason}. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
