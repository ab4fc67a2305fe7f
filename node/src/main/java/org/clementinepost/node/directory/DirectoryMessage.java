package org.clementinepost.node.directory;

import io.vavr.collection.Vector;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.DirectoryPeerMessage;

/** What the directory service is told. */
public sealed interface DirectoryMessage {
  /** The backend servers behind this node that take work have changed. */
  record Hosted(Vector<Endpoint> endpoints) implements DirectoryMessage {}

  /** Another node has sent a message. */
  record FromPeer(NodeId from, DirectoryPeerMessage message) implements DirectoryMessage {}

  /** The fleet has changed. */
  record Members(Vector<Member> others) implements DirectoryMessage {}

  /** It is time to publish again and to forget hosts that have gone silent. */
  record Tick() implements DirectoryMessage {}
}
