package org.clementinepost.policy.feed;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;

/**
 * The state of a node's feed of one table.
 *
 * @param copy the node's copy; none before the first read
 * @param relays the nodes of the own failure domain that relay the table, by rank
 * @param avoidedUntilNanos the relays that failed or are stale, and until when they are not asked
 * @param storeAvoidedUntilNanos until when relays are preferred to the store, which failed
 * @param fetch the fetch in progress
 * @param lastFetchNumber the number of the last fetch
 * @param nextFetchNanos when the next fetch may start
 * @param source the source of the last successful fetch
 * @param subscribers those who wait for news
 * @param lastNewsNanos when the store's clock last advanced in the copy
 * @param storeEra the era of the last page that this node read from the store itself
 * @param failure why the last fetch from the store failed; none once a fetch brought news
 */
public record FeedState(
    Option<TableCopy> copy,
    Vector<NodeId> relays,
    Map<NodeId, Long> avoidedUntilNanos,
    long storeAvoidedUntilNanos,
    Option<Fetch> fetch,
    long lastFetchNumber,
    long nextFetchNanos,
    Option<FeedSource> source,
    Vector<FeedSubscriber> subscribers,
    long lastNewsNanos,
    long storeEra,
    Option<Failure> failure) {
  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  /**
   * A fetch in progress.
   *
   * @param number the number of the fetch
   * @param source the source that is asked
   * @param deadlineNanos when the source is given up
   */
  record Fetch(long number, FeedSource source, long deadlineNanos) {}

  /** Returns the state of a feed that has just started. */
  public static FeedState initial() {
    return new FeedState(
        Option.none(),
        Vector.empty(),
        HashMap.empty(),
        NEVER_NANOS,
        Option.none(),
        0,
        NEVER_NANOS,
        Option.none(),
        Vector.empty(),
        NEVER_NANOS,
        0,
        Option.none());
  }

  Builder toBuilder() {
    return new Builder(this);
  }

  /** Builds a copy with other values. */
  static final class Builder {
    private Option<TableCopy> copy;
    private Vector<NodeId> relays;
    private Map<NodeId, Long> avoidedUntilNanos;
    private long storeAvoidedUntilNanos;
    private Option<Fetch> fetch;
    private long lastFetchNumber;
    private long nextFetchNanos;
    private Option<FeedSource> source;
    private Vector<FeedSubscriber> subscribers;
    private long lastNewsNanos;
    private long storeEra;
    private Option<Failure> failure;

    private Builder(FeedState state) {
      copy = state.copy;
      relays = state.relays;
      avoidedUntilNanos = state.avoidedUntilNanos;
      storeAvoidedUntilNanos = state.storeAvoidedUntilNanos;
      fetch = state.fetch;
      lastFetchNumber = state.lastFetchNumber;
      nextFetchNanos = state.nextFetchNanos;
      source = state.source;
      subscribers = state.subscribers;
      lastNewsNanos = state.lastNewsNanos;
      storeEra = state.storeEra;
      failure = state.failure;
    }

    Builder copy(Option<TableCopy> next) {
      copy = next;
      return this;
    }

    Builder relays(Vector<NodeId> next) {
      relays = next;
      return this;
    }

    Builder avoidedUntilNanos(Map<NodeId, Long> next) {
      avoidedUntilNanos = next;
      return this;
    }

    Builder storeAvoidedUntilNanos(long next) {
      storeAvoidedUntilNanos = next;
      return this;
    }

    Builder fetch(Option<Fetch> next) {
      fetch = next;
      return this;
    }

    Builder lastFetchNumber(long next) {
      lastFetchNumber = next;
      return this;
    }

    Builder nextFetchNanos(long next) {
      nextFetchNanos = next;
      return this;
    }

    Builder source(Option<FeedSource> next) {
      source = next;
      return this;
    }

    Builder subscribers(Vector<FeedSubscriber> next) {
      subscribers = next;
      return this;
    }

    Builder lastNewsNanos(long next) {
      lastNewsNanos = next;
      return this;
    }

    Builder storeEra(long next) {
      storeEra = next;
      return this;
    }

    Builder failure(Option<Failure> next) {
      failure = next;
      return this;
    }

    FeedState build() {
      return new FeedState(
          copy,
          relays,
          avoidedUntilNanos,
          storeAvoidedUntilNanos,
          fetch,
          lastFetchNumber,
          nextFetchNanos,
          source,
          subscribers,
          lastNewsNanos,
          storeEra,
          failure);
    }
  }
}
