package org.clementinepost.api;

/** The conditions under which a host admits a request; otherwise it is sent to another host. */
public enum AdmissionMode {
  /** The request is admitted only if a slot is free. */
  FREE_SLOT_ONLY(0),
  /** The request may wait in the queue for a slot. */
  WAIT_FOR_SLOT(1),
  /** The request may wait, and is also admitted if its host suspects the backend server. */
  ANY_SERVER(2);

  private final int number;

  AdmissionMode(int number) {
    this.number = number;
  }

  /** Returns the number that represents this mode on the wire. */
  public int number() {
    return number;
  }

  /** Returns the mode with the given number, or the strictest one if the number is unknown. */
  public static AdmissionMode ofNumber(int number) {
    for (AdmissionMode mode : values()) {
      if (mode.number == number) {
        return mode;
      }
    }
    return FREE_SLOT_ONLY;
  }
}
