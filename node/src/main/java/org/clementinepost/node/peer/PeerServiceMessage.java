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

/** What the peer service is told. */
public sealed interface PeerServiceMessage {
  /** Sends a message to a live node; it is dropped when the node cannot be reached. */
  record Send(NodeId to, PeerMessage message) implements PeerServiceMessage {}

  /** Sends a message to a node that need not be known to live. */
  record SendToMember(Member to, PeerMessage message) implements PeerServiceMessage {}

  /** Keeps links to these nodes, and to no others, and tells the membership of each. */
  record SetLinks(Vector<Member> members) implements PeerServiceMessage {}

  /** Asks for a sign of life; false comes when the node cannot be reached. */
  record Probe(Member to, Reply<Boolean> reachable) implements PeerServiceMessage {}

  /** Sends a request to a backend server behind another node. */
  record Exchange(
      NodeId to,
      BackendServerId server,
      RequestHead head,
      Flux<Chunk> body,
      Mono<Void> cancelled,
      Reply<Either<Failure, BackendResponse>> reply)
      implements PeerServiceMessage {}

  /** The fleet has changed. */
  record MembersChanged(Vector<Member> others) implements PeerServiceMessage {}

  /** Another node has connected. */
  record Accepted(Connection connection) implements PeerServiceMessage {}

  /** A connection to another node has been made, or has not. */
  record DialCompleted(Member to, Either<Failure, Connection> connection)
      implements PeerServiceMessage {}

  /** A connection has learned who is at its other end. */
  record HelloReceived(NodeId peer, Address<ConnectionMessage> connection)
      implements PeerServiceMessage {}

  /** Nothing has come on a connection for a while; it is to take nothing new. */
  record ConnectionUnresponsive(Address<ConnectionMessage> connection)
      implements PeerServiceMessage {}

  /** A connection has ended. */
  record ConnectionClosed(Address<ConnectionMessage> connection) implements PeerServiceMessage {}

  /**
   * The node is stopping.
   *
   * @param inFlightListener is told how many requests of other nodes wait for their answers, now
   *     and at each change
   */
  record Drain(IntConsumer inFlightListener) implements PeerServiceMessage {}

  /** A connection of another node has so many streams that have not ended there. */
  record InFlightReported(Address<ConnectionMessage> connection, int streams)
      implements PeerServiceMessage {}

  /** It is time to dial links that are down. */
  record Tick() implements PeerServiceMessage {}
}
