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

/** A message to the directory service. */
public sealed interface DirectoryMessage {
  /** The set of backend servers of this host that accept requests has changed. */
  record LocalEndpointsChanged(Vector<Endpoint> endpoints) implements DirectoryMessage {}

  /**
   * A request needs the backend servers of a service; they are looked up if they are not known.
   *
   * @param reply receives true once routing knows backend servers, or false if none are found:
   *     after a few seconds, or at once if the directory is a table of the store
   */
  record Lookup(ServiceId service, Reply<Boolean> reply) implements DirectoryMessage {}

  /** A message from another node or from this one has arrived. */
  record FromPeer(NodeId from, DirectoryPeerMessage message) implements DirectoryMessage {}

  /** The set of other live nodes has changed. */
  record MembersChanged(Vector<Member> others) implements DirectoryMessage {}

  /**
   * A read of the nodes table has succeeded or failed.
   *
   * @param complete whether all rows were requested, not only changes
   */
  record TableRead(boolean complete, Either<Failure, RowPage> page) implements DirectoryMessage {}

  /** This node's row has been read back after a failed write, or the read has failed. */
  record OwnRowRead(Either<Failure, RowPage> page) implements DirectoryMessage {}

  /**
   * A write of this node's row has succeeded or failed.
   *
   * @param value the written value; none if the row was removed
   */
  record OwnRowWritten(Option<String> value, Either<Failure, Long> result)
      implements DirectoryMessage {}

  /** This node is stopping and accepts no more requests for its backend servers. */
  record NodeStopping() implements DirectoryMessage {}

  /** A timer has fired. */
  record Tick() implements DirectoryMessage {}
}
