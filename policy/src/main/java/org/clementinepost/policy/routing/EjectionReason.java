package org.clementinepost.policy.routing;

import java.util.Locale;

/** What an ejection rests on. */
public enum EjectionReason {
  /** The backend server's answers fail. */
  FAILING,
  /** The backend server answers far slower than its peers, or not at all. */
  SLOW,
  /** The host cannot be reached, or answers come late although the backend server is quick. */
  PATH;

  /** The word used in logs. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
