package org.clementinepost.node.directory;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.storage.rows.RowPage;

/** What the directory service is told. */
public sealed interface DirectoryMessage {
  /** The backend servers behind this node that take work have changed. */
  record LocalEndpointsChanged(Vector<Endpoint> endpoints) implements DirectoryMessage {}

  /**
   * A request needs a service, which is learned if it was not.
   *
   * @param reply is answered once routing has been told of backend servers, and with false when
   *     none are found within a few seconds
   */
  record Lookup(ServiceId service, Reply<Boolean> reply) implements DirectoryMessage {}

  /** Another node has sent a message. */
  record FromPeer(NodeId from, DirectoryPeerMessage message) implements DirectoryMessage {}

  /** The fleet has changed. */
  record MembersChanged(Vector<Member> others) implements DirectoryMessage {}

  /**
   * The nodes' table has been read, or has not.
   *
   * @param complete whether all rows were asked for rather than changes
   */
  record TableRead(boolean complete, Either<Failure, RowPage> page) implements DirectoryMessage {}

  /** This node's own row has been looked up after a write whose effect is not known. */
  record OwnRowRead(Either<Failure, RowPage> page) implements DirectoryMessage {}

  /** This node's own row has been written, or has not. */
  record OwnRowWritten(Option<String> value, Either<Failure, Long> result)
      implements DirectoryMessage {}

  /** The node is stopping and takes no more work for its backend servers. */
  record NodeStopping() implements DirectoryMessage {}

  /** Time has passed. */
  record Tick() implements DirectoryMessage {}
}
