package org.clementinepost.api.peer;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.NodeId;

/**
 * The messages by which nodes share out customers' rates and bursts.
 *
 * <p>Each may be lost, late, doubled or out of order: a grant that nobody takes loses its tokens.
 */
public sealed interface QuotaMessage extends PeerMessage {
  /**
   * Asks one home for tokens of several customers.
   *
   * @param incarnation the asking node's incarnation
   * @param asks one for each customer
   */
  record Asks(long incarnation, Vector<Ask> asks) implements QuotaMessage {}

  /**
   * Asks for tokens of one customer, and accounts for those granted before.
   *
   * @param sequence grows with each ask of a node; its answer carries it
   * @param customer whose tokens
   * @param heldTokens tokens that the node may still spend
   * @param returnedTokens tokens that the node gives back and no longer spends
   * @param waitingRequests requests that wait for the answer
   * @param wantedTokens tokens that the node can use soon, with those for waiting requests
   */
  record Ask(
      long sequence,
      CustomerId customer,
      int heldTokens,
      int returnedTokens,
      int waitingRequests,
      int wantedTokens) {}

  /**
   * Answers asks.
   *
   * @param incarnation the asking node's incarnation, as it asked
   * @param grants one for each ask
   */
  record Grants(long incarnation, Vector<Grant> grants) implements QuotaMessage {}

  /**
   * Answers one ask.
   *
   * @param sequence the ask's
   * @param epoch the epoch of the home's tenure
   * @param tokens tokens granted, valid for the lease from the ask's sending
   * @param waitMillis how long it is of no use to ask again; zero when there are more tokens
   */
  record Grant(long sequence, long epoch, int tokens, long waitMillis) {}

  /**
   * Refuses asks for customers whose home this node is not.
   *
   * @param incarnation the asking node's incarnation, as it asked
   * @param sequences the asks'
   * @param home the node that has been the home, if it is known and another
   */
  record NotHome(long incarnation, Vector<Long> sequences, Option<NodeId> home)
      implements QuotaMessage {}

  /**
   * Tells a witness that a tenure is being ended, so that it no longer confirms it.
   *
   * @param node the node whose tenure ends
   * @param generation its incarnation
   */
  record Fence(NodeId node, long generation) implements QuotaMessage {}

  /** A witness has taken note of a {@link Fence}. */
  record FenceNoted(NodeId node, long generation) implements QuotaMessage {}

  /**
   * Asks a witness whether it knows of no end of the sender's tenure.
   *
   * @param generation the sender's incarnation
   * @param round tells the answers to one question from those to another
   * @param leaseMillis the lease of the tenure; a witness that has started since may have forgotten
   */
  record Confirm(long generation, long round, long leaseMillis) implements QuotaMessage {}

  /** A witness knows of no end of the tenure. */
  record Confirmed(long generation, long round) implements QuotaMessage {}
}
