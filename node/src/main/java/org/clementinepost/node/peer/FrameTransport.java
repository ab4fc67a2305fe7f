package org.clementinepost.node.peer;

/** The socket of a connection, as its task uses it. */
interface FrameTransport {
  /** Sends one frame; frames arrive in the order in which they were sent. */
  void send(byte[] frame);

  /** Closes the socket. */
  void close();
}
