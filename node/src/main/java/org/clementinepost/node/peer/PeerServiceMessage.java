package org.clementinepost.node.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.function.IntConsumer;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Reply;
import org.clementinepost.node.exchange.BackendResponse;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;

/** A message to {@link PeerService}. */
public sealed interface PeerServiceMessage {
  /** Sends a message to a live node; it is dropped if the node is unreachable. */
  record Send(NodeId to, PeerMessage message) implements PeerServiceMessage {}

  /** Sends a message to a node that may be missing from the live members. */
  record SendToMember(Member to, PeerMessage message) implements PeerServiceMessage {}

  /** Sets the members to keep persistent links to; membership is notified of each link's state. */
  record SetLinks(Vector<Member> members) implements PeerServiceMessage {}

  /** Pings a node; the reply is false if the node is unreachable. */
  record Probe(Member to, Reply<Boolean> reachable) implements PeerServiceMessage {}

  /** Sends a request to a backend server of another node. */
  record Exchange(
      NodeId to,
      BackendServerId server,
      RequestHead head,
      Flux<Chunk> body,
      Mono<Void> cancelled,
      Reply<Either<Failure, BackendResponse>> reply)
      implements PeerServiceMessage {}

  /** The live members have changed. */
  record MembersChanged(Vector<Member> others) implements PeerServiceMessage {}

  /** A connection from another node has been accepted. */
  record Accepted(Connection connection) implements PeerServiceMessage {}

  /** An attempt to connect to another node has succeeded or failed. */
  record DialCompleted(Member to, Either<Failure, Connection> connection)
      implements PeerServiceMessage {}

  /** The peer of a connection has identified itself. */
  record HelloReceived(NodeId peer, Address<ConnectionMessage> connection)
      implements PeerServiceMessage {}

  /** Nothing was received on a connection for a while; it gets no new streams or messages. */
  record ConnectionUnresponsive(Address<ConnectionMessage> connection)
      implements PeerServiceMessage {}

  /** A connection has been closed. */
  record ConnectionClosed(Address<ConnectionMessage> connection) implements PeerServiceMessage {}

  /**
   * The node is stopping.
   *
   * @param inFlightListener receives, at once and on each change, the number of requests of other
   *     nodes that are in flight
   */
  record Drain(IntConsumer inFlightListener) implements PeerServiceMessage {}

  /**
   * An accepted connection has reported its number of streams in flight; see {@link
   * ConnectionMessage.Drain}.
   */
  record InFlightReported(Address<ConnectionMessage> connection, int streams)
      implements PeerServiceMessage {}

  /** Triggers the dialing of links that are down. */
  record Tick() implements PeerServiceMessage {}
}
