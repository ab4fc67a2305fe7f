package org.clementinepost.node.directory;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;

/** What the directory service is told. */
public sealed interface DirectoryMessage {
  /** The backend servers behind this node that take work have changed. */
  record Hosted(Vector<Endpoint> endpoints) implements DirectoryMessage {}

  /**
   * A request needs a service, which is learned if it was not.
   *
   * @param known is answered once routing has been told of backend servers, and with false when
   *     none are found within a few seconds
   */
  record Wanted(ServiceId service, Reply<Boolean> known) implements DirectoryMessage {}

  /** Another node has sent a message. */
  record FromPeer(NodeId from, DirectoryPeerMessage message) implements DirectoryMessage {}

  /** The fleet has changed. */
  record Members(Vector<Member> others) implements DirectoryMessage {}

  /** Time has passed. */
  record Tick() implements DirectoryMessage {}
}
