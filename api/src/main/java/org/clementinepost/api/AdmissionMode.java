package org.clementinepost.api;

/** How far a request goes at one host before it rather looks for another. */
public enum AdmissionMode {
  /** It takes a slot that is free, and nothing else. */
  FREE_SLOT_ONLY(0),
  /** It waits a while for a slot. */
  WAIT_FOR_SLOT(1),
  /** It waits, and takes a backend server that fails rather than none. */
  ANY_SERVER(2);

  private final int number;

  AdmissionMode(int number) {
    this.number = number;
  }

  /** The number that stands for it between nodes. */
  public int number() {
    return number;
  }

  /** Finds the one with a number; one that is not known asks for the least. */
  public static AdmissionMode ofNumber(int number) {
    for (AdmissionMode insistence : values()) {
      if (insistence.number == number) {
        return insistence;
      }
    }
    return FREE_SLOT_ONLY;
  }
}
