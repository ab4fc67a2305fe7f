package org.clementinepost.api;

import java.util.Arrays;

/**
 * A part of a request body or response body.
 *
 * <p>A chunk takes ownership of its array instead of copying it, which saves one copy per chunk at
 * each hop. After {@link #wrap}, neither the creator nor any reader may modify the array.
 */
public final class Chunk {
  private final byte[] bytes;

  private Chunk(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns a chunk backed by an array that the caller gives up. */
  public static Chunk wrap(byte[] bytes) {
    return new Chunk(bytes);
  }

  /** Returns the length in bytes. */
  public int length() {
    return bytes.length;
  }

  /** Returns the backing array, which must not be modified. */
  public byte[] bytes() {
    return bytes;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Chunk chunk && Arrays.equals(bytes, chunk.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return bytes.length + " bytes";
  }
}
