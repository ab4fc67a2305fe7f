package org.clementinepost.policy.quota;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.NodeId;

/** Maps customers to partitions, and partitions to the node that should be their home. */
public final class Partitions {
  /** How many partitions there are; the same on every node, for good. */
  public static final int COUNT = 16_384;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Partitions() {}

  /** The partition of a customer. */
  public static int of(CustomerId customer) {
    return (int) Long.remainderUnsigned(hash(FNV_OFFSET, customer.value()), COUNT);
  }

  /**
   * The node that should be a partition's home, by rendezvous hashing.
   *
   * <p>A node that leaves moves its own partitions alone.
   */
  public static Option<NodeId> preferredHome(int partition, Vector<NodeId> members) {
    return members.maxBy(member -> hash(mix(FNV_OFFSET + partition), member.value()));
  }

  /** Hashes a text, the same in every process. */
  static long hash(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
