package org.clementinepost.storage.rows;

/** How a page reached its reader, which decides what its clock tells about the reader's own. */
public sealed interface PageOrigin {
  /** The store sent the page after the reader's call. */
  record AfterCall() implements PageOrigin {}

  /**
   * The store sent the page after a request of this node that the reader did not make itself.
   *
   * @param nanos the time of the request, by a clock that advances while the VM is suspended
   */
  record RequestedAt(long nanos) implements PageOrigin {}

  /** Another node relayed the page, which the store may have sent long before. */
  record Relayed() implements PageOrigin {}
}
