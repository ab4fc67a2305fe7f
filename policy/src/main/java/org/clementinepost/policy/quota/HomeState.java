package org.clementinepost.policy.quota;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.clementinepost.api.CustomerId;

/**
 * What a home remembers.
 *
 * @param buckets the customers whose tokens are not what a fresh bucket would hold
 */
public record HomeState(Map<CustomerId, Bucket> buckets) {
  /** The state of a home that nobody has asked. */
  public static HomeState empty() {
    return new HomeState(HashMap.empty());
  }

  /** How many customers it remembers. */
  public int size() {
    return buckets.size();
  }
}
