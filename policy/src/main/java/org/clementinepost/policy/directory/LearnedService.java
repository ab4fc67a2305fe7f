package org.clementinepost.policy.directory;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.DirectoryPeerMessage;
import org.clementinepost.kernel.Reply;

/**
 * A service that requests of this node need.
 *
 * @param holders the directory nodes of the service
 * @param source the one that was asked last
 * @param incarnation the incarnation that has answered; zero before the first answer
 * @param version the version of its last subset
 * @param endpoints the backend servers, also those behind hosts that are not held to live
 * @param told what routing was told last; none before the first time
 * @param usedMillis when a request last needed the service
 * @param askedMillis when the directory node was asked last
 * @param attempts the directory nodes asked since the last complete answer
 * @param waiting the requests that wait for the first answer
 */
public record LearnedService(
    Vector<NodeId> holders,
    NodeId source,
    long incarnation,
    long version,
    Vector<Endpoint> endpoints,
    Option<Vector<Endpoint>> told,
    long usedMillis,
    long askedMillis,
    int attempts,
    Vector<Reply<Boolean>> waiting) {

  static LearnedService wanted(
      Vector<NodeId> holders, NodeId source, Reply<Boolean> first, long nowMillis) {
    return new Builder()
        .holders(holders)
        .source(source)
        .usedMillis(nowMillis)
        .askedMillis(nowMillis)
        .attempts(1)
        .waiting(Vector.of(first))
        .build();
  }

  /** Whether the source has given a complete answer since it was chosen. */
  boolean isAnswered() {
    return attempts == 0;
  }

  LearnedService used(long nowMillis) {
    return toBuilder().usedMillis(nowMillis).build();
  }

  LearnedService waitedFor(Reply<Boolean> reply) {
    return toBuilder().waiting(waiting.append(reply)).build();
  }

  LearnedService withoutWaiting() {
    return toBuilder().waiting(Vector.empty()).build();
  }

  LearnedService withHolders(Vector<NodeId> next) {
    return toBuilder().holders(next).build();
  }

  /** Another directory node counts its versions anew. */
  LearnedService asked(NodeId nextSource, long nowMillis) {
    Builder next = toBuilder().source(nextSource).askedMillis(nowMillis).attempts(attempts + 1);
    return nextSource.equals(source) ? next.build() : next.incarnation(0).version(0).build();
  }

  LearnedService refreshed(long nowMillis) {
    return toBuilder().askedMillis(nowMillis).build();
  }

  LearnedService answered(DirectoryPeerMessage.Subset subset, Vector<Endpoint> next) {
    return toBuilder()
        .incarnation(subset.incarnation())
        .version(subset.version())
        .endpoints(next)
        .attempts(subset.complete() ? 0 : Math.max(1, attempts))
        .build();
  }

  LearnedService told(Vector<Endpoint> next) {
    return toBuilder().told(Option.some(next)).build();
  }

  private Builder toBuilder() {
    return new Builder()
        .holders(holders)
        .source(source)
        .incarnation(incarnation)
        .version(version)
        .endpoints(endpoints)
        .told(told)
        .usedMillis(usedMillis)
        .askedMillis(askedMillis)
        .attempts(attempts)
        .waiting(waiting);
  }

  private static final class Builder {
    private Vector<NodeId> holders = Vector.empty();
    private NodeId source;
    private long incarnation;
    private long version;
    private Vector<Endpoint> endpoints = Vector.empty();
    private Option<Vector<Endpoint>> told = Option.none();
    private long usedMillis;
    private long askedMillis;
    private int attempts;
    private Vector<Reply<Boolean>> waiting = Vector.empty();

    Builder holders(Vector<NodeId> value) {
      holders = value;
      return this;
    }

    Builder source(NodeId value) {
      source = value;
      return this;
    }

    Builder incarnation(long value) {
      incarnation = value;
      return this;
    }

    Builder version(long value) {
      version = value;
      return this;
    }

    Builder endpoints(Vector<Endpoint> value) {
      endpoints = value;
      return this;
    }

    Builder told(Option<Vector<Endpoint>> value) {
      told = value;
      return this;
    }

    Builder usedMillis(long value) {
      usedMillis = value;
      return this;
    }

    Builder askedMillis(long value) {
      askedMillis = value;
      return this;
    }

    Builder attempts(int value) {
      attempts = value;
      return this;
    }

    Builder waiting(Vector<Reply<Boolean>> value) {
      waiting = value;
      return this;
    }

    LearnedService build() {
      return new LearnedService(
          holders,
          source,
          incarnation,
          version,
          endpoints,
          told,
          usedMillis,
          askedMillis,
          attempts,
          waiting);
    }
  }
}
