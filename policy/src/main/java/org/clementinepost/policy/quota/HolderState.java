package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.QuotaMessage;

/**
 * What a holder remembers.
 *
 * @param holdings the customers seen of late
 * @param asked the customer of each ask that waits for its answer
 * @param outbox the asks that have gathered for each home
 * @param homes homes that were learned because they are not the preferred ones
 * @param members the fleet, this node among it
 * @param nextSequence the number of the next ask
 */
public record HolderState(
    Map<CustomerId, Holding> holdings,
    Map<Long, CustomerId> asked,
    Map<NodeId, Vector<QuotaMessage.Ask>> outbox,
    Map<Integer, NodeId> homes,
    Vector<NodeId> members,
    long nextSequence) {

  /** The state of a holder that has seen no customer. */
  public static HolderState empty() {
    return new HolderState(
        HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty(), Vector.empty(), 1);
  }

  /** How many customers it remembers. */
  public int size() {
    return holdings.size();
  }

  /** The node to ask for a customer's tokens. */
  Option<NodeId> homeOf(CustomerId customer) {
    int partition = Partitions.of(customer);
    return homes.get(partition).orElse(() -> Partitions.preferredHome(partition, members));
  }

  HolderState with(Holding holding) {
    return new HolderState(
        holdings.put(holding.customer(), holding), asked, outbox, homes, members, nextSequence);
  }

  HolderState without(CustomerId customer) {
    return new HolderState(holdings.remove(customer), asked, outbox, homes, members, nextSequence);
  }

  HolderState withAsk(NodeId home, QuotaMessage.Ask ask) {
    Vector<QuotaMessage.Ask> gathered = outbox.getOrElse(home, Vector.empty()).append(ask);
    return new HolderState(
        holdings,
        asked.put(ask.sequence(), ask.customer()),
        outbox.put(home, gathered),
        homes,
        members,
        nextSequence + 1);
  }

  HolderState withoutAsked(long sequence) {
    return new HolderState(holdings, asked.remove(sequence), outbox, homes, members, nextSequence);
  }

  HolderState withEmptyOutbox() {
    return new HolderState(holdings, asked, HashMap.empty(), homes, members, nextSequence);
  }

  HolderState withHome(int partition, Option<NodeId> home) {
    Map<Integer, NodeId> next =
        home.map(known -> homes.put(partition, known)).getOrElse(() -> homes.remove(partition));
    return new HolderState(holdings, asked, outbox, next, members, nextSequence);
  }

  HolderState withMembers(Vector<NodeId> next) {
    return new HolderState(
        holdings, asked, outbox, homes.filterValues(next::contains), next, nextSequence);
  }
}
