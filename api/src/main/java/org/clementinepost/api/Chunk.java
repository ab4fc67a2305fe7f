package org.clementinepost.api;

import java.util.Arrays;

/**
 * A piece of a body.
 *
 * <p>It takes over the array that it is made of: whoever makes a chunk no longer touches the array,
 * and whoever reads it does not change it. That spares a copy for each chunk at each hop.
 */
public final class Chunk {
  private final byte[] bytes;

  private Chunk(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Makes a chunk of an array that nobody else keeps. */
  public static Chunk wrap(byte[] bytes) {
    return new Chunk(bytes);
  }

  /** The chunk's length in bytes. */
  public int length() {
    return bytes.length;
  }

  /** The chunk's array, to be read only. */
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
