package org.clementinepost.policy.routing;

/** What the host of a backend server offers to a request, by its reply to a load query. */
public enum ServerOffer {
  /** The request runs at once. */
  FREE_SLOT,
  /** All slots are in use, and the request may wait. */
  WAIT,
  /** The server has no recent success, and the host wants to test it with other requests. */
  UNPROVEN_SERVER,
  /** The host suspects the server. */
  FAILING_SERVER,
  /** The host refuses the request for another reason. */
  NOTHING
}
