package org.clementinepost.node.peer;

/** Sends frames on the socket of a connection. */
interface FrameTransport {
  /** Sends a frame; frames arrive in the order in which they were sent. */
  void send(byte[] frame);

  /** Closes the socket. */
  void close();
}
