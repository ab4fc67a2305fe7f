package org.clementinepost.policy.membership;

/** Hashes names to 64-bit values that are the same in every process and release. */
public final class StableHash {
  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;

  private StableHash() {}

  /** Hashes a name. */
  public static long of(String name) {
    long hash = OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * PRIME;
    }
    return mix(hash);
  }

  /** Combines two hashes; the order matters. */
  public static long of(long first, long second) {
    return mix(first * PRIME + second);
  }

  /** The SplitMix64 finalizer: a change of one input bit changes about half of the output bits. */
  private static long mix(long value) {
    long z = value;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
