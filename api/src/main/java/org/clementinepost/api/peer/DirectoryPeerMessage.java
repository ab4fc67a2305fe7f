package org.clementinepost.api.peer;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;

/** The messages by which nodes learn of backend servers. */
public sealed interface DirectoryPeerMessage extends PeerMessage {
  /**
   * The backend servers behind one host that take work.
   *
   * @param host the host
   * @param incarnation the host's incarnation
   * @param sequence counts the host's publications; an older one is passed over
   * @param endpoints the backend servers
   */
  record Published(NodeId host, long incarnation, long sequence, Vector<Endpoint> endpoints)
      implements DirectoryPeerMessage {}
}
